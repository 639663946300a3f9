//! Entry point of the program `fulmarhead`, the command line for operators.

mod check;
mod command;
mod dump;
mod explain;
mod failure;
mod process;
mod status;

use self::{command::Arguments, failure::Failure};
use std::process::ExitCode;

/// Exit code of a command that failed, or whose document was refused. clap exits with 2 on invalid
/// arguments.
const EXIT_FAILURE: u8 = 1;

/// Exit code of `check --against` for an accepted document with findings.
const EXIT_FINDINGS: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command::parse() {
        Arguments::Check { file, against, json } => {
            return exit_code(check::run(&file, against.as_ref(), json).await);
        }
        Arguments::Status { addresses, json } => status::run(&addresses, json).await,
        Arguments::Dump { address } => dump::run(address).await,
        Arguments::Explain { request, logs, json } => explain::run(&request, &logs, json),
    };
    exit_code(result.map(|()| ExitCode::SUCCESS))
}

/// Returns the exit code of a command, and prints its failure.
fn exit_code(result: Result<ExitCode, Failure>) -> ExitCode {
    result.unwrap_or_else(|failure| {
        print_failure(&failure);
        ExitCode::from(EXIT_FAILURE)
    })
}

/// Prints a failure and its hint to standard error.
fn print_failure(failure: &Failure) {
    eprintln!("error: {failure}");
    if let Some(hint) = failure.hint() {
        eprintln!("  hint: {hint}");
    }
}
