//! Reads the platform's settings file again while the process runs.

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

/// Time between two reads without SIGHUP; the platform may change the file without a signal, and
/// what is taken from it matters only to entries that can reach no other one.
const INTERVAL: Duration = Duration::from_secs(10);

/// Reads the file at each SIGHUP and from time to time until `stop` is cancelled.
///
/// Only the seeds are taken over; all else belongs to the VM and does not change while it runs.
pub(crate) async fn reload(gateway: Arc<Gateway>, stop: CancellationToken) -> TaskResult {
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let signalled = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            signalled = timeout(INTERVAL, hangup.recv()) => signalled.is_ok(),
        };
        match NodeSettings::load() {
            Ok(settings) => take(&gateway, &settings, signalled),
            Err(error) => warn!(error:%; "settings can't be read again; the old ones stay"),
        }
    }
}

fn take(gateway: &Gateway, settings: &NodeSettings, signalled: bool) {
    let learned = gateway.roster.add(&settings.seeds);
    if signalled || !learned.is_empty() {
        info!(target: "decision", signalled, seeds:? = learned; "settings read again");
    }
}
