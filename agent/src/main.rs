//! The program `fulmarhead-agent`.

use fulmarhead_agent::{Listeners, Settings, command, run};
use fulmarhead_runtime::{
    clock::SystemClock,
    process::run_until_terminated,
    telemetry::{init_logs, install_metrics},
};
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let settings = match Settings::read(&command().get_matches()) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::from(INVALID_SETTINGS));
        }
    };
    init_logs(settings.log_level)?;
    let metrics = install_metrics()?;
    let listeners = Listeners::bind(&settings).await?;
    let shutdown = CancellationToken::new();
    let tree = run(settings, listeners, SystemClock::shared(), Some(metrics), shutdown.clone());
    run_until_terminated(tree, &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
