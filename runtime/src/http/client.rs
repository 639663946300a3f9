//! HTTP/1.1 client with a connection pool.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reasons why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be opened, so nothing was sent.
    #[error("connection failed: {0}")]
    Connect(#[source] legacy::Error),
    /// The call failed after the request may have been sent.
    #[error("call failed: {0}")]
    Call(#[source] legacy::Error),
    /// Reading the body of the response failed.
    #[error("answer broke off: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body of the response exceeds the size limit, in bytes.
    #[error("response is larger than {0} bytes")]
    TooLarge(usize),
    /// The call was not completed within the time limit.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The message can't be encoded as JSON, or the response is not the expected JSON.
    #[error("JSON can't be encoded or parsed: {0}")]
    Json(#[from] serde_json::Error),
    /// The response has a status other than success.
    #[error("response has status {0}")]
    Status(StatusCode),
    /// The request could not be built.
    #[error("request can't be built: {0}")]
    Request(#[from] hyper::http::Error),
}

impl ClientError {
    /// Returns whether the request was certainly not sent to the server.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Request(_))
    }
}

/// Address of a server and the path and query of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query, with a leading slash.
    pub path: String,
}

impl Endpoint {
    /// Returns the endpoint for `path` at `address`.
    pub fn new(address: SocketAddr, path: impl Into<String>) -> Self {
        Self { address, path: path.into() }
    }

    fn uri(&self) -> Result<Uri, hyper::http::Error> {
        let authority = self.address.to_string();
        Uri::builder().scheme("http").authority(authority).path_and_query(&*self.path).build()
    }
}

/// HTTP client. Clones share the same connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_idle_connections(usize::MAX)
    }
}

impl Client {
    /// Returns a client that opens a connection for each call. A server that sends a response twice
    /// can then not be taken to have answered the next call.
    pub fn without_pool() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(count: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(count)
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be built, the connection can't be opened or the call
    /// fails. There is no timeout.
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

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if [`Self::call`] fails or the response is not the expected JSON.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        endpoint: &Endpoint,
        time_limit: Duration,
    ) -> Result<T, ClientError> {
        let body = self.call(Method::GET, endpoint, Bytes::new(), time_limit).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends `message` as JSON and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be encoded or [`Self::call`] fails.
    pub async fn send_json<M: Serialize>(
        &self,
        method: Method,
        endpoint: &Endpoint,
        message: &M,
        time_limit: Duration,
    ) -> Result<Bytes, ClientError> {
        self.call(method, endpoint, serde_json::to_vec(message)?.into(), time_limit).await
    }

    /// Sends a JSON body and returns the body of a successful response. An empty body is sent
    /// without a content type.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Self::call_with`].
    pub async fn call(
        &self,
        method: Method,
        endpoint: &Endpoint,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, ClientError> {
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        self.call_with(method, endpoint, headers, body, time_limit).await
    }

    /// Sends a body with `headers` and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns an error if [`Self::send`] fails, the call exceeds `time_limit`, the status is not a
    /// success, or the response body is larger than 16 MiB or can't be read.
    pub async fn call_with(
        &self,
        method: Method,
        endpoint: &Endpoint,
        headers: HeaderMap,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, ClientError> {
        let call = async {
            let response = self.send(method, endpoint, headers, body).await?;
            let status = response.status();
            if !status.is_success() {
                return Err(ClientError::Status(status));
            }
            read_body(response.into_body(), MAX_RESPONSE_BYTES).await
        };
        timeout(time_limit, call).await.map_err(|_| ClientError::Timeout(time_limit))?
    }
}

/// Maximum size of a response body that is read into memory.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reads a body of at most `max_bytes` bytes into memory.
///
/// # Errors
///
/// Returns an error if the body is larger or reading it fails.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ClientError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ClientError::TooLarge(max_bytes)),
        Err(error) => Err(ClientError::Body(error)),
    }
}
