//! HTTP/1.1 client with pooled connections.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Longest time for a connection to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be set up, so that nothing was sent.
    #[error("connection failed: {0}")]
    Connect(#[source] legacy::Error),
    /// The call failed after it may have been sent.
    #[error("call failed: {0}")]
    Call(#[source] legacy::Error),
    /// The body of the answer broke off.
    #[error("answer broke off: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer is over the allowed size.
    #[error("answer is over {0} bytes")]
    TooLarge(usize),
    /// The call took too long.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer is not the expected JSON.
    #[error("answer can't be parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer has another status than success.
    #[error("answer has status {0}")]
    Status(StatusCode),
    /// The request could not be built.
    #[error("request can't be built: {0}")]
    Request(#[from] hyper::http::Error),
}

impl ClientError {
    /// Returns whether the call certainly did not reach the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Request(_))
    }
}

/// An address and a path with its query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query, with a leading slash.
    pub path: String,
}

impl Endpoint {
    /// Returns the endpoint of `path` at `address`.
    pub fn new(address: SocketAddr, path: impl Into<String>) -> Self {
        Self { address, path: path.into() }
    }

    fn uri(&self) -> Result<Uri, hyper::http::Error> {
        let authority = self.address.to_string();
        Uri::builder().scheme("http").authority(authority).path_and_query(&*self.path).build()
    }
}

/// A client that any number of tasks share.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a request and returns the answer as soon as its headers are here.
    pub async fn send(
        &self,
        method: Method,
        endpoint: &Endpoint,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut request =
            Request::builder().method(method).uri(endpoint.uri()?).body(Full::new(body))?;
        *request.headers_mut() = headers;
        self.inner.request(request).await.map_err(|error| {
            if error.is_connect() { ClientError::Connect(error) } else { ClientError::Call(error) }
        })
    }

    /// Reads JSON with a GET request.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        endpoint: &Endpoint,
        limit: Duration,
    ) -> Result<T, ClientError> {
        let body = self.call(Method::GET, endpoint, Bytes::new(), limit).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends `message` as JSON and returns the body of the answer.
    pub async fn send_json<M: Serialize>(
        &self,
        method: Method,
        endpoint: &Endpoint,
        message: &M,
        limit: Duration,
    ) -> Result<Bytes, ClientError> {
        self.call(method, endpoint, serde_json::to_vec(message)?.into(), limit).await
    }

    /// Sends a body of JSON, or none, and returns the body of a successful answer.
    pub async fn call(
        &self,
        method: Method,
        endpoint: &Endpoint,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ClientError> {
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        self.call_with(method, endpoint, headers, body, limit).await
    }

    /// Sends a body with `headers` and returns the body of a successful answer.
    pub async fn call_with(
        &self,
        method: Method,
        endpoint: &Endpoint,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, ClientError> {
        let call = async {
            let response = self.send(method, endpoint, headers, body).await?;
            let status = response.status();
            if !status.is_success() {
                return Err(ClientError::Status(status));
            }
            read_body(response.into_body(), MAX_ANSWER).await
        };
        timeout(limit, call).await.map_err(|_| ClientError::Timeout(limit))?
    }
}

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Reads a body of at most `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ClientError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ClientError::TooLarge(limit)),
        Err(error) => Err(ClientError::Body(error)),
    }
}
