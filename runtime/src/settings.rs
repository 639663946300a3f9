//! Settings from flags and environment variables, checked all at once.

use clap::{Arg, ArgMatches, Command};
use std::{fmt::Display, process::ExitCode, str::FromStr};

/// One invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// A setting without a default is missing.
    #[error("--{flag} is missing")]
    Missing {
        /// Name of the flag.
        flag: &'static str,
    },
    /// The value of a setting can't be parsed.
    #[error("--{flag}: {value:?} is invalid: {problem}")]
    Invalid {
        /// Name of the flag.
        flag: &'static str,
        /// Value that was given.
        value: String,
        /// What the parser says.
        problem: String,
    },
}

/// All invalid settings of a start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(|error| error.to_string()).collect::<Vec<_>>().join("\n"))]
pub struct SettingErrors(pub Vec<SettingError>);

/// Exit code of a program whose settings are invalid.
const INVALID_SETTINGS: u8 = 2;

/// Parses the command line with `read`; prints all errors and returns the exit code if there are
/// any.
pub fn parse<T>(
    command: Command,
    read: impl FnOnce(&ArgMatches) -> Result<T, SettingErrors>,
) -> Result<T, ExitCode> {
    read(&command.get_matches()).map_err(|errors| {
        eprintln!("{errors}");
        ExitCode::from(INVALID_SETTINGS)
    })
}

/// Reads settings and collects every error.
#[derive(Debug)]
pub struct Reader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

/// Returns a flag `--flag VALUE` that the environment variable `variable` can set as well.
pub fn flag(flag: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(flag).long(flag).env(variable).value_name("VALUE").help(help)
}

impl<'a> Reader<'a> {
    /// Returns a reader of parsed arguments.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self { matches, errors: Vec::new() }
    }

    /// Reads a setting that must be given or have a default.
    pub fn required<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.matches.get_one::<String>(flag);
        if value.is_none() {
            self.errors.push(SettingError::Missing { flag });
        }
        value.and_then(|value| self.parse(flag, value))
    }

    /// Reads a setting that may be left out.
    pub fn optional<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.matches.get_one::<String>(flag)?;
        self.parse(flag, value)
    }

    /// Reads a setting that holds values with commas between them.
    pub fn list<T>(&mut self, flag: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.matches.get_one::<String>(flag).map_or("", String::as_str);
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse(flag, part)).collect()
    }

    /// Reads a setting that holds at least one value, with commas between them.
    pub fn filled_list<T>(&mut self, flag: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let errors = self.errors.len();
        let list = self.list(flag);
        if list.is_empty() && self.errors.len() == errors {
            self.errors.push(SettingError::Missing { flag });
        }
        list
    }

    /// Returns the settings that `build` makes of the values, or all errors that were found.
    pub fn finish_with<T>(self, build: impl FnOnce() -> Option<T>) -> Result<T, SettingErrors> {
        match build() {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(self.errors)),
        }
    }

    fn parse<T>(&mut self, flag: &'static str, value: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(problem) => {
                let problem = problem.to_string();
                let value = value.to_owned();
                self.errors.push(SettingError::Invalid { flag, value, problem });
                None
            }
        }
    }
}
