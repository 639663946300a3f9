//! Definition of the commands and their arguments.

use crate::check::Source;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{net::SocketAddr, path::PathBuf};

/// List of exit codes, shown below the long help of the program and of each command.
const EXIT_CODES: &str = "\
Exit codes:
  0  the command succeeded; for `check`: the document would be accepted
  1  a file or process can't be read, the document is refused, or the request is in no log
  2  the arguments are invalid
  3  `check --against`: the document would be accepted, but a setting in it has no effect or
     contradicts another";

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Arguments {
    /// Checks a document.
    Check { file: PathBuf, against: Option<Source>, json: bool },
    /// Shows the state of several processes.
    Status { addresses: Vec<SocketAddr>, json: bool },
    /// Prints the complete state of one process.
    Dump { address: SocketAddr },
    /// Shows the decisions on a request.
    Explain { request: String, logs: Vec<PathBuf>, json: bool },
}

/// Parses the arguments of the process. Exits if they are invalid.
pub(crate) fn parse() -> Arguments {
    let matches = cli().get_matches();
    match matches.subcommand() {
        Some(("check", matches)) => {
            let (file, json) = (required_arg(matches, "file"), matches.get_flag("json"));
            Arguments::Check { file, against: matches.get_one("against").cloned(), json }
        }
        Some(("status", matches)) => Arguments::Status {
            addresses: list_arg(matches, "addresses"),
            json: matches.get_flag("json"),
        },
        Some(("dump", matches)) => Arguments::Dump { address: required_arg(matches, "address") },
        Some(("explain", matches)) => Arguments::Explain {
            request: required_arg(matches, "request"),
            logs: list_arg(matches, "logs"),
            json: matches.get_flag("json"),
        },
        _ => unreachable!("clap requires one of the commands above"),
    }
}

fn required_arg<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("clap requires the argument")
}

fn list_arg<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).map(|values| values.cloned().collect()).unwrap_or_default()
}

fn cli() -> Command {
    Command::new("fulmarhead")
        .version(clap::crate_version!())
        .about("Checks configurations and shows the state of a fleet")
        .after_long_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(status())
        .subcommand(dump())
        .subcommand(explain())
}

fn check() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_name("FILE")
        .help("Configuration or release note, in JSON")
        .value_parser(value_parser!(PathBuf));
    let against = Arg::new("against")
        .long("against")
        .value_name("ADDRESS-OR-FILE")
        .help("Configuration in force: a file, or the address of the configuration service")
        .value_parser(value_parser!(Source));
    Command::new("check")
        .about("Checks a configuration or a release note and lists every error")
        .long_about(
            "Checks a configuration or a release note and lists every error with its path and a \
             hint. In a release note alone, references to the configuration are not checked. With \
             --against, also lists settings that have no effect or contradict each other, and what \
             differs from the configuration in force.",
        )
        .after_long_help(EXIT_CODES)
        .arg(file)
        .arg(against)
        .arg(json())
}

fn status() -> Command {
    let addresses = Arg::new("addresses")
        .required(true)
        .num_args(1..)
        .value_name("ADDRESS")
        .help("Addresses for operators of entries and agents, such as 10.0.0.7:7402")
        .value_parser(value_parser!(SocketAddr));
    Command::new("status")
        .about("Shows entries and agents, their load and their progress towards the release note")
        .long_about(
            "Shows entries and agents, their load and their progress towards the release note. \
             An entry also holds the reports of its targets, so one entry is enough.",
        )
        .after_long_help(EXIT_CODES)
        .arg(addresses)
        .arg(json())
}

fn dump() -> Command {
    let address = Arg::new("address")
        .required(true)
        .value_name("ADDRESS")
        .help("Address for operators of a process")
        .value_parser(value_parser!(SocketAddr));
    Command::new("dump")
        .about("Prints the complete state of one process as JSON")
        .after_long_help(EXIT_CODES)
        .arg(address)
}

fn explain() -> Command {
    let request = Arg::new("request")
        .required(true)
        .value_name("REQUEST_ID")
        .help("Identifier of the request, as in the response to the caller")
        .value_parser(value_parser!(String));
    let logs = Arg::new("logs")
        .required(true)
        .num_args(1..)
        .value_name("LOG")
        .help("Log files of entries and agents")
        .value_parser(value_parser!(PathBuf));
    Command::new("explain")
        .about("Shows the decisions on one request in order, and how long each step took")
        .long_about(
            "Shows the decisions on one request in chronological order, and how long each step \
             took. Times are those of the machines that wrote the logs, so the time between \
             decisions on two machines includes the difference between their clocks.",
        )
        .after_long_help(EXIT_CODES)
        .arg(request)
        .arg(logs)
        .arg(json())
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Prints JSON")
}
