//! Settings of the load.

use crate::{
    mix::{Mix, MixSettings},
    team::TeamShare,
};
use clap::{Arg, ArgAction, Command};
use fulmarhead_lib::ids::{ApplicationId, ModelId, Tokens};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use std::{
    fmt::{self, Display},
    net::SocketAddr,
    num::ParseFloatError,
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

/// Settings of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Teams and their shares.
    pub teams: Vec<TeamShare>,
    /// Model of the prompts.
    pub model: ModelId,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals per second, over all classes of the mix.
    pub rate: f64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Time at the start whose requests are sent and not counted.
    pub warmup: Duration,
    /// Time limit of each request.
    pub deadline: Duration,
    /// Prompt lengths.
    pub mix: MixSettings,
    /// Fewest and most tokens of an answer.
    pub output: (Tokens, Tokens),
    /// Share of calls to the application.
    pub calls: f64,
    /// Application of the calls.
    pub application: ApplicationId,
    /// Path of the calls at the application.
    pub path: String,
    /// Whether the report is JSON.
    pub json: bool,
    /// Where to draw the time to first token.
    pub plot: Option<PathBuf>,
}

/// A number from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Share(f64);

/// A number above 0.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Positive(f64);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum NumberError {
    #[error(transparent)]
    Float(#[from] ParseFloatError),
    #[error("not from 0 to 1")]
    Share,
    #[error("not above 0")]
    Positive,
}

impl FromStr for Share {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse()?;
        if (0.0..=1.0).contains(&number) { Ok(Self(number)) } else { Err(NumberError::Share) }
    }
}

impl FromStr for Positive {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.parse()?;
        let valid = number.is_finite() && number > 0.0;
        if valid { Ok(Self(number)) } else { Err(NumberError::Positive) }
    }
}

impl Display for Positive {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the command line.
pub fn command() -> Command {
    let option =
        |name, variable, help, value: &'static str| flag(name, variable, help).default_value(value);
    Command::new("fulmarhead-load")
        .version(clap::crate_version!())
        .about("Sends seeded open-loop load and reports latency by length class and team")
        .arg(flag("entries", "FULMARHEAD_ENTRIES", "Addresses of entries, with commas"))
        .arg(flag("teams", "FULMARHEAD_TEAMS", "NAME:TOKEN:SHARE of each team, with commas"))
        .arg(option("model", "FULMARHEAD_MODEL", "Model of the prompts", "assistant"))
        .arg(option("seed", "FULMARHEAD_SEED", "Seed of the arrivals", "1"))
        .arg(flag("rate", "FULMARHEAD_RATE", "Arrivals a second, over all classes"))
        .arg(option("duration", "FULMARHEAD_DURATION", "Seconds in which requests arrive", "30"))
        .arg(option("warmup", "FULMARHEAD_WARMUP", "First seconds that are not counted", "0"))
        .arg(option("deadline", "FULMARHEAD_DEADLINE", "Seconds for each request", "30"))
        .arg(option("mix", "FULMARHEAD_MIX", "mixed, or short for its short prompts", "mixed"))
        .arg(option("medium-share", "FULMARHEAD_MEDIUM_SHARE", "Share over 8,000", "0.18"))
        .arg(option("long-share", "FULMARHEAD_LONG_SHARE", "Share over 100,000", "0.02"))
        .arg(option("min-output", "FULMARHEAD_MIN_OUTPUT", "Fewest tokens of an answer", "16"))
        .arg(option("max-output", "FULMARHEAD_MAX_OUTPUT", "Most tokens of an answer", "64"))
        .arg(option("calls", "FULMARHEAD_CALLS", "Share of application calls under keys", "0"))
        .arg(option("application", "FULMARHEAD_APPLICATION", "Application", "yard-desk"))
        .arg(option("path", "FULMARHEAD_PATH", "Path of the application's calls", "orders"))
        .arg(flag("plot", "FULMARHEAD_PLOT", "SVG file for the time to first token"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Report as JSON"))
}

impl Settings {
    /// Reads the settings from the parsed command line.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let entries = reader.non_empty_list("entries");
        let teams = reader.non_empty_list("teams");
        let model = reader.required("model");
        let seed = reader.required("seed");
        let rate = reader.required::<Positive>("rate");
        let duration = reader.required("duration").map(|Positive(seconds)| seconds);
        let warmup = reader.required::<u64>("warmup");
        let deadline = reader.required("deadline").map(|Positive(seconds)| seconds);
        let mix = reader.required::<Mix>("mix");
        let medium = reader.required::<Share>("medium-share");
        let long = reader.required::<Share>("long-share");
        let fewest = reader.required::<Tokens>("min-output");
        let most = reader.required::<Tokens>("max-output");
        let calls = reader.required::<Share>("calls");
        let application = reader.required("application");
        let path = reader.required("path");
        let plot = reader.optional("plot");
        let json = matches.get_flag("json");
        reader.finish_with(|| {
            let (fewest, most) = (fewest?, most?);
            Some(Self {
                entries,
                teams,
                model: model?,
                seed: seed?,
                rate: rate?.0,
                duration: Duration::from_secs_f64(duration?),
                warmup: Duration::from_secs(warmup?),
                deadline: Duration::from_secs_f64(deadline?),
                mix: MixSettings { mix: mix?, medium: medium?.0, long: long?.0 },
                output: (fewest.min(most), most),
                calls: calls?.0,
                application: application?,
                path: path?,
                json,
                plot,
            })
        })
    }
}
