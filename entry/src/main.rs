//! Command `fulmarhead-entry`, which runs an entry until it is terminated.

use fulmarhead_entry::{Listeners, Settings, command, run};
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
    let metrics = install_metrics()?;
    let listeners = Listeners::bind(&settings).await?;
    let shutdown = CancellationToken::new();
    let tree = run(settings, listeners, SystemClock::shared(), Some(metrics), shutdown.clone());
    run_until_terminated(tree, &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
