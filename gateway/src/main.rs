//! The program `fulmarhead-gateway`, an entry that calls targets directly.

use fulmarhead_gateway::{Listeners, Options, command, run};
use fulmarhead_platform::NodeSettings;
use fulmarhead_runtime::{
    clock::SystemClock,
    process::run_until_terminated,
    settings::parse,
    telemetry::{init_logs, install_metrics},
};
use log::info;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<ExitCode> {
    let options = match parse(command(), Options::read) {
        Ok(options) => options,
        Err(code) => return Ok(code),
    };
    init_logs(options.log_level)?;
    let metrics = install_metrics()?;
    let settings = NodeSettings::load()?;
    info!(node = settings.vm_name, zone = settings.zone; "starting");
    let listeners = Listeners::bind(&settings, options.ops_port).await?;
    let shutdown = CancellationToken::new();
    let tree = run(settings, listeners, SystemClock::shared(), Some(metrics), shutdown.clone());
    run_until_terminated(tree, &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
