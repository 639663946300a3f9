//! Watches the configuration service.

use crate::entry::Entry;
use fulmarhead_lib::config::Bundle;
use fulmarhead_runtime::{
    platform::{ConfigServiceClient, ConfigServiceError},
    supervisor::TaskResult,
};
use log::warn;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time of one watch, in which the service holds the call.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a call without news that was answered sooner than this.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Watches until `stop` is cancelled.
pub(crate) async fn watch(entry: Arc<Entry>, stop: CancellationToken) -> TaskResult {
    let service = ConfigServiceClient::new(entry.settings.service, entry.client.clone());
    loop {
        let asked = entry.clock.now();
        let watched = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            watched = service.watch(entry.revision(), WATCH_TIME) => watched,
        };
        let waited = entry.clock.now().saturating_duration_since(asked);
        // A service that answers at once without news would be called without a pause.
        if is_news(&entry, watched) || waited >= RETRY_PAUSE {
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(RETRY_PAUSE) => {}
        }
    }
}

/// Returns whether a watch brought a configuration that is in force now.
fn is_news(entry: &Entry, watched: Result<Option<Bundle>, ConfigServiceError>) -> bool {
    match watched {
        Ok(None) => false,
        Ok(Some(bundle)) => {
            let (before, offered) = (entry.revision(), bundle.revision);
            let is_news = offered > before && entry.adopt(bundle) >= offered;
            if !is_news {
                warn!(revision = offered; "service offers a revision that is not put in force");
            }
            is_news
        }
        Err(error) => {
            warn!(error:%; "configuration service can't be read");
            false
        }
    }
}
