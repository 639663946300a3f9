//! Watches the configuration service.

use crate::entry::Entry;
use fulmarhead_runtime::{platform::ConfigService, supervisor::TaskResult};
use log::warn;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time of one watch, in which the service holds the call.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Watches until `stop` is cancelled.
pub(crate) async fn watch(entry: Arc<Entry>, stop: CancellationToken) -> TaskResult {
    let service = ConfigService::new(entry.settings.service, entry.client.clone());
    loop {
        let watched = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            watched = service.watch(entry.revision(), WATCH_TIME) => watched,
        };
        match watched {
            Ok(Some(bundle)) if entry.adopt(bundle.clone()) >= bundle.revision => continue,
            Ok(None) => continue,
            Ok(Some(bundle)) => {
                warn!(revision = bundle.revision; "service offers a refused revision")
            }
            Err(error) => warn!(error:%; "configuration service can't be read"),
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(RETRY_PAUSE) => {}
        }
    }
}
