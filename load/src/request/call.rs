//! A call to the application under a key.

use super::{Seen, Sender, failed, read_problem};
use crate::record::{Ending, ErrorKind};
use bytes::Bytes;
use fulmarhead_runtime::{
    http::{Endpoint, read_body},
    work::IDEMPOTENCY_KEY,
};
use hyper::{HeaderMap, Method, header::HeaderValue};
use serde::Deserialize;

/// Largest answer of a call, in bytes.
const MAX_ANSWER: usize = 4 << 20;

#[derive(Debug, Deserialize)]
struct Issued {
    key: String,
}

/// Asks for a key, makes the call under it and writes into `seen` how it ended.
pub(crate) async fn call(
    sender: &Sender,
    application: &str,
    path: &str,
    number: u64,
    seen: &mut Seen,
) {
    let result = run(sender, application, path, number).await;
    if result.is_ok() {
        seen.tokens.push(sender.clock.now());
    }
    seen.ending = result.map_or_else(|ending| ending, |()| Ending::Complete);
}

async fn run(sender: &Sender, application: &str, path: &str, number: u64) -> Result<(), Ending> {
    let malformed = Ending::Error(ErrorKind::Malformed);
    let mut headers = sender.headers().map_err(|_| malformed)?;
    let keys = format!("/apps/{application}/keys");
    let issued = post(sender, keys, headers.clone(), Bytes::new()).await?;
    let issued: Issued = serde_json::from_slice(&issued).map_err(|_| malformed)?;
    let key = HeaderValue::from_str(&issued.key).map_err(|_| malformed)?;
    headers.insert(IDEMPOTENCY_KEY, key);
    let path = format!("/apps/{application}/{}", path.trim_start_matches('/'));
    post(sender, path, headers, format!("order {number}").into()).await?;
    Ok(())
}

async fn post(
    sender: &Sender,
    path: String,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Bytes, Ending> {
    let endpoint = Endpoint::new(sender.entry, path);
    let answer = sender.client.send(Method::POST, &endpoint, headers, body).await;
    let answer = answer.map_err(|error| failed(&error))?;
    if !answer.status().is_success() {
        return Err(read_problem(answer).await);
    }
    let body = read_body(answer.into_body(), MAX_ANSWER).await;
    body.map_err(|_| Ending::Broken)
}
