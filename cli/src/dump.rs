//! The command `dump`.

use crate::{failure::Failure, process};
use fulmarhead_runtime::http::Client;
use serde_json::Value;
use std::net::SocketAddr;

/// Prints the whole state of one process.
pub(crate) async fn run(address: SocketAddr) -> Result<(), Failure> {
    let state: Value = process::read(&Client::default(), address).await?;
    println!("{}", serde_json::to_string_pretty(&state)?);
    Ok(())
}
