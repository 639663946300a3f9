//! Entry point of the program `fulmarhead-agent`.

use fulmarhead_agent::{Listeners, Settings, command, run};
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
    let agent = run(settings, listeners, SystemClock::shared(), Some(metrics), shutdown.clone());
    run_until_terminated(agent, &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
