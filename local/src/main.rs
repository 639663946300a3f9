//! The program `fulmarhead-local`.

use clap::Command;
use fulmarhead_local::{Plan, TOKEN, start};
use fulmarhead_runtime::{
    process::run_until_terminated,
    settings::{Reader, flag},
    telemetry::{init_logs, install_metrics},
};
use log::LevelFilter;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("fulmarhead-local")
        .version(clap::crate_version!())
        .about("Runs entries, agents and stand-ins in one process on loopback ports")
        .arg(
            flag("log-level", "FULMARHEAD_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("warn"),
        )
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let matches = command().get_matches();
    let mut reader = Reader::new(&matches);
    let level = reader.required::<LevelFilter>("log-level");
    let level = match reader.finish_with(|| level) {
        Ok(level) => level,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::from(INVALID_SETTINGS));
        }
    };
    init_logs(level)?;
    let fleet = start(Plan::default(), Some(install_metrics()?)).await?;
    for address in &fleet.callers {
        println!("entry for callers: http://{address} (bearer token {TOKEN})");
    }
    for address in &fleet.ops {
        println!("for operators: http://{address}/debug/state");
    }
    let shutdown = CancellationToken::new();
    run_until_terminated(fleet.run(shutdown.clone()), &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
