//! The program `fulmarhead-local`.

use clap::{Arg, ArgAction, Command};
use fulmarhead_local::{Fleet, Plan, TOKEN, demo, start};
use fulmarhead_runtime::{
    clock::SystemClock,
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
            Arg::new("demo").long("demo").action(ArgAction::SetTrue).help(
                "Send requests of all kinds, print what happened, and exit 0 if all was right",
            ),
        )
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
    let plan = Plan::default();
    let fleet = start(plan.clone(), Some(install_metrics()?)).await?;
    if matches.get_flag("demo") {
        return run_demo(&plan, fleet).await;
    }
    let handle = fleet.handle();
    for address in &handle.callers {
        println!("entry for callers: http://{address} (bearer token {TOKEN})");
    }
    for address in &handle.ops {
        println!("for operators: http://{address}/debug/state");
    }
    let shutdown = CancellationToken::new();
    run_until_terminated(fleet.run(shutdown.clone()), &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}

async fn run_demo(plan: &Plan, fleet: Fleet) -> eyre::Result<ExitCode> {
    let handle = fleet.handle();
    let shutdown = CancellationToken::new();
    let steps = async {
        let rows = demo::run(plan, &handle, SystemClock::shared()).await;
        shutdown.cancel();
        rows
    };
    let (result, rows) = tokio::join!(fleet.run(shutdown.clone()), steps);
    result?;
    demo::print(&rows);
    let passed = rows.iter().all(|row| row.passed);
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
