//! A caller of an entry.

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

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Longest time for one call or one event.
const LIMIT: Duration = Duration::from_secs(30);

/// Why a call got no answer of the published form.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] ClientError),
    /// A header can't be sent.
    #[error("header can't be sent: {0}")]
    Header(#[from] hyper::header::InvalidHeaderValue),
    /// There was no answer or no event in time.
    #[error("nothing within {LIMIT:?}")]
    Timeout,
    /// The answer is a refusal.
    #[error("refused: {0:?}")]
    Refused(Answer),
    /// The stream broke off.
    #[error("stream broke off after {0} events")]
    Broken(u64),
    /// An event is not of the published form.
    #[error("event is malformed: {0}")]
    Event(String),
    /// The stream was ended by a refusal.
    #[error("stream ended by {0}")]
    Failed(String),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type, empty if there is none.
    pub media_type: String,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the HTTP status, and the `outcome` if the answer is a refusal.
    pub fn told(&self) -> (u16, String) {
        (self.status, self.member("outcome"))
    }

    /// Returns the member `name` of a problem document, empty if there is none.
    pub fn member(&self, name: &str) -> String {
        self.json()[name].as_str().unwrap_or_default().to_owned()
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Identifier, with which a caller goes on after a lost connection.
    pub id: String,
    /// Position of the token, or the number of tokens at the end.
    pub position: u64,
    /// Text of the token.
    pub text: String,
    /// Whether this is the end of the answer.
    pub is_end: bool,
}

/// A streamed answer.
pub struct EventStream {
    events: SseStream<BodyDataStream<Incoming>>,
    read: u64,
}

/// A caller of one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    headers: HeaderMap,
}

impl Caller {
    /// Returns a caller of the entry at `address` with the bearer token `token`.
    pub fn new(client: Client, address: SocketAddr, token: &str) -> Self {
        let caller = Self { client, address, headers: HeaderMap::new() };
        caller.with("authorization", &format!("Bearer {token}"))
    }

    /// Returns the caller with one more header on each call.
    pub fn with(&self, name: &'static str, value: &str) -> Self {
        let mut caller = self.clone();
        let value = HeaderValue::from_str(value).expect("tests use valid header values");
        caller.headers.insert(HeaderName::from_static(name), value);
        caller
    }

    /// Returns the address of the entry.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallerError> {
        let sent = async {
            let response = self.send(method, path, body.into()).await?;
            read(response).await
        };
        timeout(LIMIT, sent).await.unwrap_or(Err(CallerError::Timeout))
    }

    /// Asks for a completion as a whole.
    pub async fn complete(&self, prompt: &str, tokens: u64) -> Result<Answer, CallerError> {
        self.call(Method::POST, "/v1/completions", completion(prompt, tokens, false)).await
    }

    /// Asks for a completion as a stream; returns once the entry has begun to answer.
    pub async fn stream(&self, prompt: &str, tokens: u64) -> Result<EventStream, CallerError> {
        let body = completion(prompt, tokens, true).into();
        let sent = self.send(Method::POST, "/v1/completions", body);
        let response = timeout(LIMIT, sent).await.map_err(|_| CallerError::Timeout)??;
        if response.status() != 200 {
            return Err(CallerError::Refused(read(response).await?));
        }
        let events = SseStream::new(BodyDataStream::new(response.into_body()));
        Ok(EventStream { events, read: 0 })
    }

    /// Asks for a key of `application`.
    pub async fn issue(&self, application: &str) -> Result<String, CallerError> {
        let path = format!("/apps/{application}/keys");
        let answer = self.call(Method::POST, &path, "").await?;
        match answer.status {
            201 => Ok(answer.member("key")),
            _ => Err(CallerError::Refused(answer)),
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
    /// Returns the next event; none after the end mark of the stream.
    pub async fn next(&mut self) -> Result<Option<Event>, CallerError> {
        let event = timeout(LIMIT, self.events.next()).await.map_err(|_| CallerError::Timeout)?;
        let event = match event {
            Some(Ok(event)) => event,
            Some(Err(_)) | None => return Err(CallerError::Broken(self.read)),
        };
        if event.data == "[DONE]" {
            return Ok(None);
        }
        self.read += 1;
        Ok(Some(parse(event)?))
    }

    /// Reads `count` events.
    pub async fn take(&mut self, count: usize) -> Result<Vec<Event>, CallerError> {
        let mut events = Vec::new();
        while events.len() < count {
            match self.next().await? {
                Some(event) => events.push(event),
                None => break,
            }
        }
        Ok(events)
    }

    /// Reads all events to the end mark.
    pub async fn rest(&mut self) -> Result<Vec<Event>, CallerError> {
        self.take(usize::MAX).await
    }
}

fn parse(event: SseEvent) -> Result<Event, CallerError> {
    if event.event == "error" {
        return Err(CallerError::Failed(event.data));
    }
    let malformed = || CallerError::Event(event.data.clone());
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

async fn read(response: Response<Incoming>) -> Result<Answer, CallerError> {
    let status = response.status().as_u16();
    let media_type = response.headers().get("content-type");
    let media_type = media_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let media_type = media_type.to_owned();
    let body = read_body(response.into_body(), MAX_ANSWER).await?;
    Ok(Answer { status, media_type, body })
}

fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    let model = super::MODEL;
    json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}
