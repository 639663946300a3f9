//! The command `dump`, which prints the state of one process.

use crate::{failure::Failure, process};
use fulmarhead_runtime::http::Client;
use serde_json::Value;
use std::net::SocketAddr;

/// Prints the complete state of one process as JSON.
pub(crate) async fn run(address: SocketAddr) -> Result<(), Failure> {
    let state: Value = process::read_state(&Client::default(), address).await?;
    println!("{}", serde_json::to_string_pretty(&state)?);
    Ok(())
}
