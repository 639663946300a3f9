//! Settings from flags and environment variables, with all errors reported together.

use clap::{Arg, ArgMatches, Command};
use std::{fmt::Display, process::ExitCode, str::FromStr};

/// Reasons why a setting is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// A required setting is missing.
    #[error("--{flag} is missing")]
    Missing {
        /// Name of the flag without the dashes.
        flag: &'static str,
    },
    /// The value of a setting can't be parsed.
    #[error("--{flag}: {value:?} is invalid: {reason}")]
    Invalid {
        /// Name of the flag without the dashes.
        flag: &'static str,
        /// Value that was given.
        value: String,
        /// Error of the parser.
        reason: String,
    },
}

/// All rejected settings of a command line; displayed with one error per line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(|error| error.to_string()).collect::<Vec<_>>().join("\n"))]
pub struct SettingErrors(pub Vec<SettingError>);

/// Exit code of a program whose settings are invalid.
const INVALID_SETTINGS: u8 = 2;

/// Parses the command line with `read`. Prints all errors to standard error and returns the exit
/// code 2 if there are any.
pub fn parse<T>(
    command: Command,
    read: impl FnOnce(&ArgMatches) -> Result<T, SettingErrors>,
) -> Result<T, ExitCode> {
    read(&command.get_matches()).map_err(|errors| {
        eprintln!("{errors}");
        ExitCode::from(INVALID_SETTINGS)
    })
}

/// Reader of parsed arguments that collects the errors of all settings.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

/// Returns an argument `--flag VALUE`, with the environment variable `variable` as a fallback.
pub fn flag(flag: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(flag).long(flag).env(variable).value_name("VALUE").help(help)
}

impl<'a> SettingsReader<'a> {
    /// Returns a reader of the parsed arguments `matches`.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self { matches, errors: Vec::new() }
    }

    /// Reads a setting that must be given or have a default. Records an error otherwise.
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

    /// Reads a setting that may be absent.
    pub fn optional<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.matches.get_one::<String>(flag)?;
        self.parse(flag, value)
    }

    /// Reads a comma-separated list, which may be empty or absent.
    pub fn list<T>(&mut self, flag: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.matches.get_one::<String>(flag).map_or("", String::as_str);
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse(flag, part)).collect()
    }

    /// Reads a comma-separated list that must contain at least one value.
    pub fn non_empty_list<T>(&mut self, flag: &'static str) -> Vec<T>
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

    /// Returns the settings that `build` creates from the values.
    ///
    /// # Errors
    ///
    /// Returns the collected errors if there are any or if `build` returns `None`; in the latter
    /// case the list may be empty.
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
            Err(error) => {
                let reason = error.to_string();
                let value = value.to_owned();
                self.errors.push(SettingError::Invalid { flag, value, reason });
                None
            }
        }
    }
}
