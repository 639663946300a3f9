//! Watch on the configuration service for new revisions.

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

/// Maximum time for which the service holds one watch request open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before the next watch if the last one ended sooner than this without a new revision.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches for new revisions and adopts them until `stop` is cancelled.
pub(crate) async fn watch(entry: Arc<Entry>, stop: CancellationToken) -> TaskResult {
    let service = ConfigServiceClient::new(entry.settings.service_address, entry.client.clone());
    loop {
        let started = entry.clock.now();
        let result = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            result = service.watch(entry.revision(), WATCH_TIMEOUT) => result,
        };
        let elapsed = entry.clock.now().saturating_duration_since(started);
        // A service that answers at once without a new revision must not be called in a busy loop.
        if adopt_result(&entry, result) || elapsed >= RETRY_DELAY {
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = sleep(RETRY_DELAY) => {}
        }
    }
}

/// Adopts the configuration in the result of a watch, and returns whether it is active now.
fn adopt_result(entry: &Entry, result: Result<Option<Bundle>, ConfigServiceError>) -> bool {
    match result {
        Ok(None) => false,
        Ok(Some(bundle)) => {
            let (active, offered) = (entry.revision(), bundle.revision);
            let adopted = offered > active && entry.adopt(bundle) >= offered;
            if !adopted {
                warn!(
                    revision = offered;
                    "configuration from the service was not adopted; keeping the active one"
                );
            }
            adopted
        }
        Err(error) => {
            warn!(error:%; "failed to watch the configuration service; retrying");
            false
        }
    }
}
