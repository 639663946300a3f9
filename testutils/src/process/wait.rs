//! Polling for conditions that other processes bring about.

use bytes::Bytes;
use fulmarhead_runtime::http::{CallLimits, Client, ClientError, Endpoint};
use hyper::Method;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{sleep, timeout};

/// Delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limits on one request; the largest response is the state of a process.
const READ_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(1), bytes: 16 << 20 };

/// Error of a condition that was not met within its time limit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("condition not met within {limit:?}: {condition}")]
pub struct ConditionTimeout {
    /// Description of the condition.
    pub condition: String,
    /// Time limit that has passed.
    pub limit: Duration,
}

/// Polls `poll` until it returns a value; fails with a description of `condition` after `limit`.
pub async fn eventually<T>(
    condition: &str,
    limit: Duration,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> Result<T, ConditionTimeout> {
    let found = async {
        loop {
            if let Some(found) = poll().await {
                return found;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(limit, found)
        .await
        .map_err(|_| ConditionTimeout { condition: condition.to_owned(), limit })
}

/// Requests `path` from a process and parses the response as JSON.
///
/// Fails if there is no successful response within 1 second, or if it is not JSON.
pub async fn read_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<Value, ClientError> {
    let endpoint = Endpoint::new(address, path);
    let body = client.call(Method::GET, &endpoint, Bytes::new(), READ_LIMITS).await?;
    Ok(serde_json::from_slice(&body)?)
}
