//! A call to the application with an idempotency key.

use super::{RequestContext, ResponseRecord, connection_error, read_problem};
use crate::record::{ErrorKind, RequestResult};
use bytes::Bytes;
use fulmarhead_runtime::{
    http::{Endpoint, read_body},
    work::IDEMPOTENCY_KEY,
};
use hyper::{HeaderMap, Method, header::HeaderValue};
use serde::Deserialize;

/// Largest response of a call.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

#[derive(Debug, Deserialize)]
struct IssuedKey {
    key: String,
}

/// Requests a key, sends the call with it, and writes the response time and the result to
/// `record`.
pub(crate) async fn call(
    context: &RequestContext,
    application: &str,
    path: &str,
    number: u64,
    record: &mut ResponseRecord,
) {
    let result = send_call(context, application, path, number).await;
    if result.is_ok() {
        record.token_times.push(context.clock.now());
    }
    record.result = result.map_or_else(|failure| failure, |()| RequestResult::Complete);
}

async fn send_call(
    context: &RequestContext,
    application: &str,
    path: &str,
    number: u64,
) -> Result<(), RequestResult> {
    let malformed = RequestResult::Error(ErrorKind::Malformed);
    let mut headers = context.headers().map_err(|_| malformed)?;
    let keys_path = format!("/apps/{application}/keys");
    let issued = post(context, keys_path, headers.clone(), Bytes::new()).await?;
    let issued: IssuedKey = serde_json::from_slice(&issued).map_err(|_| malformed)?;
    let key = HeaderValue::from_str(&issued.key).map_err(|_| malformed)?;
    headers.insert(IDEMPOTENCY_KEY, key);
    let path = format!("/apps/{application}/{}", path.trim_start_matches('/'));
    post(context, path, headers, format!("order {number}").into()).await?;
    Ok(())
}

async fn post(
    context: &RequestContext,
    path: String,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Bytes, RequestResult> {
    let endpoint = Endpoint::new(context.entry, path);
    let response = context.client.send(Method::POST, &endpoint, headers, body).await;
    let response = response.map_err(|error| connection_error(&error))?;
    if !response.status().is_success() {
        return Err(read_problem(response).await);
    }
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
    body.map_err(|_| RequestResult::Broken)
}
