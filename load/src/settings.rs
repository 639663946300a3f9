//! Command line and settings of `fulmarhead-load`.

use crate::{
    mix::{Mix, MixSettings},
    prefixes::SharedPrefixes,
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

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Addresses of the entries, which get the arrivals in rotation.
    pub entries: Vec<SocketAddr>,
    /// Teams that send requests, with their shares; not empty.
    pub teams: Vec<TeamShare>,
    /// Model that the completions use.
    pub model: ModelId,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals per second, over all classes of the mix.
    pub rate: f64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Time at the start whose requests are sent but left out of the statistics.
    pub warmup: Duration,
    /// Time limit of each request.
    pub deadline: Duration,
    /// Distribution of the prompt lengths.
    pub mix: MixSettings,
    /// Beginnings that the prompts share.
    pub prefixes: SharedPrefixes,
    /// Smallest and largest number of tokens that a completion requests.
    pub output_range: (Tokens, Tokens),
    /// Fraction of the requests that are calls to the application.
    pub call_share: f64,
    /// Application that the calls go to.
    pub application: ApplicationId,
    /// Path of the calls within the application.
    pub call_path: String,
    /// Whether the report is printed as JSON instead of tables.
    pub json: bool,
    /// File for the SVG plot of the time to first token; no plot if absent.
    pub plot: Option<PathBuf>,
}

/// A number from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fraction(f64);

/// A finite number above 0.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PositiveNumber(f64);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum NumberError {
    #[error(transparent)]
    Float(#[from] ParseFloatError),
    #[error("not from 0 to 1")]
    NotFraction,
    #[error("not above 0")]
    NotPositive,
}

impl FromStr for Fraction {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse()?;
        if (0.0..=1.0).contains(&number) { Ok(Self(number)) } else { Err(NumberError::NotFraction) }
    }
}

impl FromStr for PositiveNumber {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.parse()?;
        let valid = number.is_finite() && number > 0.0;
        if valid { Ok(Self(number)) } else { Err(NumberError::NotPositive) }
    }
}

impl Display for PositiveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the command line parser of `fulmarhead-load`.
pub fn command() -> Command {
    let option = |name, variable, help, default: &'static str| {
        flag(name, variable, help).default_value(default)
    };
    Command::new("fulmarhead-load")
        .version(clap::crate_version!())
        .about("Sends seeded open-loop load and reports latency by length class and team")
        .arg(flag("entries", "FULMARHEAD_ENTRIES", "Addresses of the entries, separated by commas"))
        .arg(flag(
            "teams",
            "FULMARHEAD_TEAMS",
            "NAME:TOKEN:SHARE of each team, separated by commas",
        ))
        .arg(option("model", "FULMARHEAD_MODEL", "Model of the prompts", "assistant"))
        .arg(option("seed", "FULMARHEAD_SEED", "Seed of the arrivals", "1"))
        .arg(flag("rate", "FULMARHEAD_RATE", "Arrivals per second over all length classes"))
        .arg(option("duration", "FULMARHEAD_DURATION", "Seconds in which requests arrive", "30"))
        .arg(option(
            "warmup",
            "FULMARHEAD_WARMUP",
            "Seconds at the start that are not counted",
            "0",
        ))
        .arg(option(
            "deadline",
            "FULMARHEAD_DEADLINE",
            "Time limit of each request in seconds",
            "30",
        ))
        .arg(option("mix", "FULMARHEAD_MIX", "mixed, or short for only its short prompts", "mixed"))
        .arg(option(
            "medium-share",
            "FULMARHEAD_MEDIUM_SHARE",
            "Share of prompts over 8,000 and up to 100,000 tokens",
            "0.18",
        ))
        .arg(option(
            "long-share",
            "FULMARHEAD_LONG_SHARE",
            "Share of prompts over 100,000 tokens",
            "0.02",
        ))
        .arg(option(
            "shared-prefixes",
            "FULMARHEAD_SHARED_PREFIXES",
            "Number of different beginnings that prompts share, or 0",
            "0",
        ))
        .arg(option(
            "shared-tokens",
            "FULMARHEAD_SHARED_TOKENS",
            "Largest shared beginning in tokens, at most three quarters of a prompt",
            "32000",
        ))
        .arg(option(
            "min-output",
            "FULMARHEAD_MIN_OUTPUT",
            "Smallest number of output tokens",
            "16",
        ))
        .arg(option("max-output", "FULMARHEAD_MAX_OUTPUT", "Largest number of output tokens", "64"))
        .arg(option(
            "calls",
            "FULMARHEAD_CALLS",
            "Share of application calls with idempotency keys",
            "0",
        ))
        .arg(option(
            "application",
            "FULMARHEAD_APPLICATION",
            "Application of the calls",
            "yard-desk",
        ))
        .arg(option("path", "FULMARHEAD_PATH", "Path of the application's calls", "orders"))
        .arg(flag("plot", "FULMARHEAD_PLOT", "SVG file for a plot of the time to first token"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

impl Settings {
    /// Reads the settings from the parsed command line, or returns all errors in them at once.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let entries = reader.non_empty_list("entries");
        let teams = reader.non_empty_list("teams");
        let model = reader.required("model");
        let seed = reader.required("seed");
        let rate = reader.required::<PositiveNumber>("rate");
        let duration = reader.required("duration").map(|PositiveNumber(seconds)| seconds);
        let warmup = reader.required::<u64>("warmup");
        let deadline = reader.required("deadline").map(|PositiveNumber(seconds)| seconds);
        let mix = reader.required::<Mix>("mix");
        let medium_share = reader.required::<Fraction>("medium-share");
        let long_share = reader.required::<Fraction>("long-share");
        let prefix_count = reader.required::<u64>("shared-prefixes");
        let prefix_tokens = reader.required::<Tokens>("shared-tokens");
        let min_output = reader.required::<Tokens>("min-output");
        let max_output = reader.required::<Tokens>("max-output");
        let call_share = reader.required::<Fraction>("calls");
        let application = reader.required("application");
        let call_path = reader.required("path");
        let plot = reader.optional("plot");
        let json = matches.get_flag("json");
        reader.finish_with(|| {
            let (min_output, max_output) = (min_output?, max_output?);
            Some(Self {
                entries,
                teams,
                model: model?,
                seed: seed?,
                rate: rate?.0,
                duration: Duration::from_secs_f64(duration?),
                warmup: Duration::from_secs(warmup?),
                deadline: Duration::from_secs_f64(deadline?),
                mix: MixSettings {
                    mix: mix?,
                    medium_share: medium_share?.0,
                    long_share: long_share?.0,
                },
                prefixes: SharedPrefixes { count: prefix_count?, tokens: prefix_tokens? },
                output_range: (min_output.min(max_output), max_output),
                call_share: call_share?.0,
                application: application?,
                call_path: call_path?,
                json,
                plot,
            })
        })
    }
}
