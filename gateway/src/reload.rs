//! Rereads the platform's settings file while the process runs.

use crate::gateway::Gateway;
use fulmarhead_platform::NodeSettings;
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Interval between reads without SIGHUP, as the platform may change the file without a signal. A
/// long interval suffices, because only an entry that can reach no other entry needs new seeds.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// Rereads the file at each SIGHUP and at regular intervals until `stop` is cancelled.
///
/// Only the seeds are applied; all other settings belong to the VM and do not change while it runs.
pub(crate) async fn reload_seeds(gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            signalled = timeout(RELOAD_INTERVAL, hangup.recv()) => signalled.is_ok(),
        };
        match NodeSettings::load() {
            Ok(settings) => apply_seeds(&gateway, &settings, signalled),
            Err(error) => {
                warn!(error:%; "can't reread the settings file; keeping the current settings")
            }
        }
    }
}

fn apply_seeds(gateway: &Gateway, settings: &NodeSettings, signalled: bool) {
    let new_seeds = gateway.roster().add_addresses(&settings.seeds);
    if !new_seeds.is_empty() {
        gateway.divide_limits();
    }
    if signalled || !new_seeds.is_empty() {
        info!(target: "decision", signalled, seeds:? = new_seeds; "reread the settings file");
    }
}
