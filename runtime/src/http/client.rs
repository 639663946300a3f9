//! HTTP/1.1 client with a connection pool.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
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

/// Maximum size of the head of a response, in bytes, and of the read buffer of a connection. The
/// library's own limit of 400 KiB for each of many calls is more than a small process has.
const MAX_HEAD_BYTES: usize = 16 << 10;

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
    Body(#[source] hyper::Error),
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

/// Limits on the response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum time from the beginning of the call to the end of the response.
    pub time: Duration,
    /// Maximum size of the body, in bytes.
    pub bytes: usize,
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
            .http1_max_buf_size(MAX_HEAD_BYTES)
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
        limits: CallLimits,
    ) -> Result<T, ClientError> {
        Ok(self.get_json_with_headers(endpoint, limits).await?.1)
    }

    /// Sends a GET request, parses the response as JSON, and returns its headers as well.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Self::get_json`].
    pub async fn get_json_with_headers<T: DeserializeOwned>(
        &self,
        endpoint: &Endpoint,
        limits: CallLimits,
    ) -> Result<(HeaderMap, T), ClientError> {
        let request = (Method::GET, HeaderMap::new(), Bytes::new());
        let (headers, body) = self.exchange(request, endpoint, limits).await?;
        Ok((headers, serde_json::from_slice(&body)?))
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
        limits: CallLimits,
    ) -> Result<Bytes, ClientError> {
        self.call(method, endpoint, serde_json::to_vec(message)?.into(), limits).await
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
        limits: CallLimits,
    ) -> Result<Bytes, ClientError> {
        let mut headers = HeaderMap::new();
        if !body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        self.call_with(method, endpoint, headers, body, limits).await
    }

    /// Sends a body with `headers` and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns an error if [`Self::send`] fails, the response exceeds `limits` or can't be read, or
    /// its status is not a success. The body of such a response is not read.
    pub async fn call_with(
        &self,
        method: Method,
        endpoint: &Endpoint,
        headers: HeaderMap,
        body: Bytes,
        limits: CallLimits,
    ) -> Result<Bytes, ClientError> {
        Ok(self.exchange((method, headers, body), endpoint, limits).await?.1)
    }

    /// Sends a request and returns the headers and the body of a successful response.
    async fn exchange(
        &self,
        (method, headers, body): (Method, HeaderMap, Bytes),
        endpoint: &Endpoint,
        limits: CallLimits,
    ) -> Result<(HeaderMap, Bytes), ClientError> {
        let call = async {
            let response = self.send(method, endpoint, headers, body).await?;
            let status = response.status();
            if !status.is_success() {
                return Err(ClientError::Status(status));
            }
            let (head, body) = response.into_parts();
            Ok((head.headers, read_body(body, limits.bytes).await?))
        };
        timeout(limits.time, call).await.map_err(|_| ClientError::Timeout(limits.time))?
    }
}

/// Reads a body of at most `max_bytes` bytes into memory.
///
/// # Errors
///
/// Returns an error if the body is larger or reading it fails.
pub async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, ClientError> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(ClientError::TooLarge(max_bytes));
    }
    // In one piece, since each chunk kept by itself takes many times the size of a tiny one.
    let mut received: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ClientError::Body)?.into_data() else { continue };
        if data.len() > max_bytes - received.len() {
            return Err(ClientError::TooLarge(max_bytes));
        }
        received.extend_from_slice(&data);
    }
    Ok(received.into())
}
