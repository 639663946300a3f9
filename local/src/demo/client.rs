//! A caller of the local fleet.

use crate::plan::TOKEN;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use fulmarhead_lib::{ids::Position, request::EventId};
use fulmarhead_runtime::http::{Client, ClientError, Endpoint, read_body};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Largest body of an answer that is read as a whole, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Why a call of the demo failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The call itself failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The entry refused the call.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// The stream broke off or has an event that is not of the published form.
    #[error("stream broke off after {0} tokens")]
    Stream(Position),
    /// The answer is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A streamed answer that is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed {
    /// Text of the answer.
    pub text: String,
    /// Number of tokens.
    pub length: Position,
    /// Target that generated the last token.
    pub target: String,
}

/// Answer of an application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug, Deserialize)]
struct Key {
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

/// A caller of the local fleet.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Streams the completion of `prompt` at an entry.
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
        let answer = self.client.send(Method::POST, &endpoint, headers(None), body).await?;
        if !answer.status().is_success() {
            return Err(CallError::Refused(answer.status()));
        }
        let mut events = BodyDataStream::new(answer.into_body()).eventsource();
        let mut done = Completed { text: String::new(), length: 0, target: String::new() };
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return Ok(done);
            }
            let broken = CallError::Stream(done.length);
            let id: EventId = event.id.parse().map_err(|_| broken)?;
            let chunk: Chunk = serde_json::from_str(&event.data)?;
            done.text.extend(chunk.choices.into_iter().map(|choice| choice.text));
            done.length = id.position;
            done.target = id.target;
        }
        Err(CallError::Stream(done.length))
    }

    /// Asks an entry for an idempotency key.
    pub async fn key(&self, entry: SocketAddr, application: &str) -> Result<String, CallError> {
        let path = format!("/apps/{application}/keys");
        let answered = self.call(entry, Method::POST, &path, None, Bytes::new()).await?;
        if answered.status != StatusCode::CREATED {
            return Err(CallError::Refused(answered.status));
        }
        let key: Key = serde_json::from_slice(&answered.body)?;
        Ok(key.key)
    }

    /// Calls a path at an entry, with an idempotency key if there is one.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<Answered, CallError> {
        let endpoint = Endpoint::new(entry, path);
        let answer = self.client.send(method, &endpoint, headers(key), body).await?;
        let status = answer.status();
        let body = read_body(answer.into_body(), MAX_BODY).await?;
        Ok(Answered { status, body })
    }

    /// Reads the state dump of a process.
    pub async fn dump(&self, ops: SocketAddr) -> Result<Value, CallError> {
        let endpoint = Endpoint::new(ops, "/debug/state");
        Ok(self.client.get_json(&endpoint, Duration::from_secs(1)).await?)
    }
}

fn headers(key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {TOKEN}");
    let bearer = HeaderValue::from_str(&bearer).expect("the token has only visible characters");
    headers.insert(AUTHORIZATION, bearer);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(Ok(key)) = key.map(HeaderValue::from_str) {
        headers.insert(HeaderName::from_static("idempotency-key"), key);
    }
    headers
}
