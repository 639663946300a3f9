//! Waiting for a condition that other processes bring about.

use bytes::Bytes;
use fulmarhead_runtime::http::{Client, ClientError, Endpoint};
use hyper::Method;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{sleep, timeout};

/// Pause between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for one look.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// A condition did not come about in time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not within {limit:?}: {what}")]
pub struct Expired {
    /// What was waited for.
    pub what: String,
    /// Time it was given.
    pub limit: Duration,
}

/// Looks again and again until `look` finds something, at most for `limit`.
pub async fn eventually<T>(
    what: &str,
    limit: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T, Expired> {
    let found = async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(INTERVAL).await;
        }
    };
    timeout(limit, found).await.map_err(|_| Expired { what: what.to_owned(), limit })
}

/// Reads JSON from a process.
pub async fn read_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<Value, ClientError> {
    let endpoint = Endpoint::new(address, path);
    let body = client.call(Method::GET, &endpoint, Bytes::new(), READ_TIMEOUT).await?;
    Ok(serde_json::from_slice(&body)?)
}
