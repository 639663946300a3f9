//! Reads the state of running processes.

use crate::failure::Failure;
use fulmarhead_runtime::http::{Client, Endpoint};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Longest time for one process to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the state of the process with the operators' address `address`.
pub(crate) async fn read<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
) -> Result<T, Failure> {
    let endpoint = Endpoint::new(address, "/debug/state");
    let state = client.get_json(&endpoint, TIMEOUT).await;
    state.map_err(|error| Failure::Process { address, error })
}
