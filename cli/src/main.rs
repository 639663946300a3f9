//! The program `fulmarhead`: the operators' command line.

mod check;
mod command;
mod dump;
mod explain;
mod failure;
mod process;
mod status;

use self::{command::Arguments, failure::Failure};
use std::process::ExitCode;

/// Exit code of a command that failed or whose check was not passed; 2 is clap's for usage.
const FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let result = match command::read() {
        Arguments::Check { file, json } => check::run(&file, json),
        Arguments::Status { addresses, json } => status::run(&addresses, json).await,
        Arguments::Dump { address } => dump::run(address).await,
        Arguments::Explain { request, logs, json } => explain::run(&request, &logs, json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            report(&failure);
            ExitCode::from(FAILED)
        }
    }
}

fn report(failure: &Failure) {
    eprintln!("error: {failure}");
    if let Some(hint) = failure.hint() {
        eprintln!("  hint: {hint}");
    }
}
