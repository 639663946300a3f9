//! Client for the state of running processes.

use crate::failure::Failure;
use fulmarhead_runtime::http::{Client, Endpoint};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Timeout of a request to one process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the state of the process whose address for operators is `address`.
pub(crate) async fn read_state<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
) -> Result<T, Failure> {
    let endpoint = Endpoint::new(address, "/debug/state");
    let state = client.get_json(&endpoint, REQUEST_TIMEOUT).await;
    state.map_err(|error| Failure::UnreadProcess { address, error })
}
