//! HTTP client that calls an entry as a user does.

use bytes::Bytes;
use eventsource_stream::{Event as SseEvent, EventStream as SseStream};
use fulmarhead_runtime::http::{Client, ClientError, Endpoint, read_body};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{
    Method, Response,
    body::Incoming,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Maximum size of a response that is read in full, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Timeout of one call, or of waiting for one event.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a call got no valid response.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The request could not be sent, or its response could not be read.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// A header value is invalid.
    #[error("invalid header value: {0}")]
    Header(#[from] hyper::header::InvalidHeaderValue),
    /// No response or event arrived within the timeout.
    #[error("no response or event within {CALL_TIMEOUT:?}")]
    Timeout,
    /// The response to a streaming call or a key request is a refusal.
    #[error("entry refused the call: {0:?}")]
    Refused(FullResponse),
    /// The connection ended before the end marker of the stream, after this number of events.
    #[error("stream ended early after {0} events")]
    EndedEarly(u64),
    /// An event does not have the published format.
    #[error("malformed event: {0}")]
    MalformedEvent(String),
    /// The stream ended with an error event.
    #[error("stream ended with an error event: {0}")]
    ErrorEvent(String),
}

/// Response that was read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type, empty if there is none.
    pub media_type: String,
    /// Body, unparsed.
    pub body: Bytes,
}

impl FullResponse {
    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the HTTP status and the `outcome` member, empty unless the call was refused.
    pub fn status_and_outcome(&self) -> (u16, String) {
        (self.status, self.member("outcome"))
    }

    /// Returns the string member `name` of the JSON body, empty if there is none.
    pub fn member(&self, name: &str) -> String {
        self.json()[name].as_str().unwrap_or_default().to_owned()
    }
}

/// Event of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Identifier with which a caller resumes the stream after a lost connection.
    pub id: String,
    /// Position of the token; in the last event, the number of tokens.
    pub position: u64,
    /// Text of the token.
    pub text: String,
    /// Whether this is the last event of the completion.
    pub is_end: bool,
}

/// Streamed completion.
pub struct EventStream {
    events: SseStream<BodyDataStream<Incoming>>,
    read_count: u64,
}

/// Client of one entry, with the headers that it sends on each call.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    headers: HeaderMap,
}

impl Caller {
    /// Returns a client of the entry at `address` that authenticates with the bearer token `token`.
    pub fn new(client: Client, address: SocketAddr, token: &str) -> Self {
        let caller = Self { client, address, headers: HeaderMap::new() };
        caller.with_header("authorization", &format!("Bearer {token}"))
    }

    /// Returns a copy of the client that sends the header `name`, in place of an earlier value.
    pub fn with_header(&self, name: &'static str, value: &str) -> Self {
        let mut caller = self.clone();
        let value = HeaderValue::from_str(value).expect("tests use valid header values");
        caller.headers.insert(HeaderName::from_static(name), value);
        caller
    }

    /// Returns the address of the entry.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and reads the response in full.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<FullResponse, CallerError> {
        let exchange = async {
            let response = self.send(method, path, body.into()).await?;
            read_response(response).await
        };
        timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(CallerError::Timeout))
    }

    /// Requests a completion in one response.
    pub async fn complete(&self, prompt: &str, tokens: u64) -> Result<FullResponse, CallerError> {
        self.call(Method::POST, "/v1/completions", completion(prompt, tokens, false)).await
    }

    /// Requests a streamed completion; returns when the response head arrives.
    ///
    /// Fails with [`CallerError::Refused`] if the status is not 200.
    pub async fn stream(&self, prompt: &str, tokens: u64) -> Result<EventStream, CallerError> {
        let body = completion(prompt, tokens, true).into();
        let sent = self.send(Method::POST, "/v1/completions", body);
        let response = timeout(CALL_TIMEOUT, sent).await.map_err(|_| CallerError::Timeout)??;
        if response.status() != 200 {
            return Err(CallerError::Refused(read_response(response).await?));
        }
        let events = SseStream::new(BodyDataStream::new(response.into_body()));
        Ok(EventStream { events, read_count: 0 })
    }

    /// Requests an idempotency key for calls of `application`.
    pub async fn issue_key(&self, application: &str) -> Result<String, CallerError> {
        let path = format!("/apps/{application}/keys");
        let response = self.call(Method::POST, &path, "").await?;
        match response.status {
            201 => Ok(response.member("key")),
            _ => Err(CallerError::Refused(response)),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallerError> {
        let endpoint = Endpoint::new(self.address, path);
        Ok(self.client.send(method, &endpoint, self.headers.clone(), body).await?)
    }
}

impl EventStream {
    /// Returns the next event, or `None` after the end marker of the stream.
    pub async fn next(&mut self) -> Result<Option<Event>, CallerError> {
        let event =
            timeout(CALL_TIMEOUT, self.events.next()).await.map_err(|_| CallerError::Timeout)?;
        let event = match event {
            Some(Ok(event)) => event,
            Some(Err(_)) | None => return Err(CallerError::EndedEarly(self.read_count)),
        };
        if event.data == "[DONE]" {
            return Ok(None);
        }
        self.read_count += 1;
        Ok(Some(parse(event)?))
    }

    /// Reads `count` events, or fewer if the stream ends before.
    pub async fn read_events(&mut self, count: usize) -> Result<Vec<Event>, CallerError> {
        let mut events = Vec::new();
        while events.len() < count {
            match self.next().await? {
                Some(event) => events.push(event),
                None => break,
            }
        }
        Ok(events)
    }

    /// Reads all events up to the end marker.
    pub async fn read_to_end(&mut self) -> Result<Vec<Event>, CallerError> {
        self.read_events(usize::MAX).await
    }
}

fn parse(event: SseEvent) -> Result<Event, CallerError> {
    if event.event == "error" {
        return Err(CallerError::ErrorEvent(event.data));
    }
    let malformed = || CallerError::MalformedEvent(event.data.clone());
    let data: Value = serde_json::from_str(&event.data).map_err(|_| malformed())?;
    let choice = &data["choices"][0];
    let position = event.id.rsplit('.').next().and_then(|text| text.parse().ok());
    Ok(Event {
        position: position.ok_or_else(malformed)?,
        text: choice["text"].as_str().ok_or_else(malformed)?.to_owned(),
        is_end: !choice["finish_reason"].is_null(),
        id: event.id,
    })
}

async fn read_response(response: Response<Incoming>) -> Result<FullResponse, CallerError> {
    let status = response.status().as_u16();
    let media_type = response.headers().get("content-type");
    let media_type = media_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let media_type = media_type.to_owned();
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await?;
    Ok(FullResponse { status, media_type, body })
}

fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    let model = super::MODEL;
    json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}
