//! Client for the state of running processes.

use crate::failure::Failure;
use fulmarhead_runtime::http::{CallLimits, Client, Endpoint};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Limits on a request to one process. The state of a large process takes some MB.
const REQUEST_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(3), bytes: 16 << 20 };

/// Reads the state of the process whose address for operators is `address`.
pub(crate) async fn read_state<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
) -> Result<T, Failure> {
    let endpoint = Endpoint::new(address, "/debug/state");
    let state = client.get_json(&endpoint, REQUEST_LIMITS).await;
    state.map_err(|error| Failure::UnreadProcess { address, error })
}
