//! The program `fulmarhead-gateway`.

use fulmarhead_gateway::{Listeners, run};
use fulmarhead_platform::NodeSettings;
use fulmarhead_runtime::{
    clock::SystemClock,
    process::run_until_terminated,
    telemetry::{init_logs, install_metrics},
};
use log::{LevelFilter, info};
use tokio_util::sync::CancellationToken;

#[tokio::main(flavor = "current_thread")]
async fn main() -> eyre::Result<()> {
    init_logs(LevelFilter::Info)?;
    let metrics = install_metrics()?;
    let settings = NodeSettings::load()?;
    info!(node = settings.node, zone = settings.zone; "starting");
    let listeners = Listeners::bind(&settings).await?;
    let shutdown = CancellationToken::new();
    let tree = run(settings, listeners, SystemClock::shared(), Some(metrics), shutdown.clone());
    run_until_terminated(tree, &shutdown).await?;
    Ok(())
}
