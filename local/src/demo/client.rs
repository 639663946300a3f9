//! Client of the local fleet that the demo uses.

use crate::plan::TOKEN;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use fulmarhead_lib::{ids::Position, request::EventId};
use fulmarhead_runtime::http::{CallLimits, Client, ClientError, Endpoint, read_body};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Largest response body that is read as a whole.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Limits on reading the state of a process.
const STATE_LIMITS: CallLimits = CallLimits { time: Duration::from_secs(1), bytes: 16 << 20 };

/// Reason that a request to the local fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The HTTP request failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The entry refused the request with this status.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The stream ended early, after this number of tokens, or has an event with a malformed id.
    #[error("stream broke off after {0} tokens")]
    Stream(Position),
    /// The response is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A complete streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed {
    /// Concatenated text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub token_count: Position,
    /// Target that generated the last token.
    pub target: String,
}

/// Response to a call through an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// Status code, of the application or of the entry.
    pub status: StatusCode,
    /// Complete response body.
    pub body: Bytes,
}

#[derive(Debug, Deserialize)]
struct IssuedKey {
    key: String,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

/// Client that sends requests of the first team; clones share its connections.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Requests a streamed completion of `prompt` at `entry` and reads it to its end.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Completed, CallError> {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let endpoint = Endpoint::new(entry, "/v1/completions");
        let body = body.to_string().into();
        let response =
            self.client.send(Method::POST, &endpoint, request_headers(None), body).await?;
        if !response.status().is_success() {
            return Err(CallError::Refused(response.status()));
        }
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        let mut completed =
            Completed { text: String::new(), token_count: 0, target: String::new() };
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return Ok(completed);
            }
            let stream_error = CallError::Stream(completed.token_count);
            let id: EventId = event.id.parse().map_err(|_| stream_error)?;
            let chunk: Chunk = serde_json::from_str(&event.data)?;
            completed.text.extend(chunk.choices.into_iter().map(|choice| choice.text));
            completed.token_count = id.position;
            completed.target = id.target;
        }
        Err(CallError::Stream(completed.token_count))
    }

    /// Requests an idempotency key for calls to `application` from `entry`.
    pub async fn issue_key(
        &self,
        entry: SocketAddr,
        application: &str,
    ) -> Result<String, CallError> {
        let path = format!("/apps/{application}/keys");
        let response = self.call(entry, Method::POST, &path, None, Bytes::new()).await?;
        if response.status != StatusCode::CREATED {
            return Err(CallError::Refused(response.status));
        }
        let issued: IssuedKey = serde_json::from_slice(&response.body)?;
        Ok(issued.key)
    }

    /// Sends a call to `entry` and returns the response, whatever its status.
    ///
    /// An idempotency key that is not a valid header value is left out.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<CallResponse, CallError> {
        let endpoint = Endpoint::new(entry, path);
        let response = self.client.send(method, &endpoint, request_headers(key), body).await?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_BODY_BYTES).await?;
        Ok(CallResponse { status, body })
    }

    /// Returns the debug state of the process with the given address for operators.
    pub async fn debug_state(&self, ops_address: SocketAddr) -> Result<Value, CallError> {
        let endpoint = Endpoint::new(ops_address, "/debug/state");
        Ok(self.client.get_json(&endpoint, STATE_LIMITS).await?)
    }
}

fn request_headers(key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let authorization = format!("Bearer {TOKEN}");
    let authorization =
        HeaderValue::from_str(&authorization).expect("the token has only visible characters");
    headers.insert(AUTHORIZATION, authorization);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(Ok(key)) = key.map(HeaderValue::from_str) {
        headers.insert(HeaderName::from_static("idempotency-key"), key);
    }
    headers
}
