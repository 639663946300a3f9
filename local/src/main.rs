//! Program `fulmarhead-local`: runs a complete fleet in one process, or the demo against it.

use fulmarhead_local::{Fleet, Plan, Settings, TOKEN, command, demo, start};
use fulmarhead_runtime::{
    clock::SystemClock,
    process::run_until_terminated,
    settings::parse,
    telemetry::{init_logs, install_metrics},
};
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let settings = match parse(command(), Settings::read) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    init_logs(settings.log_level)?;
    let plan = settings.plan;
    let fleet = start(plan.clone(), Some(install_metrics()?)).await?;
    if settings.demo {
        return run_demo(&plan, fleet).await;
    }
    let handle = fleet.handle();
    println!("configuration service: http://{}", handle.service_address);
    for address in &handle.caller_addresses {
        println!("entry for callers: http://{address} (bearer token {TOKEN})");
    }
    for address in &handle.ops_addresses {
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
