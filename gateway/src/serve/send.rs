//! Sends one request to a target on a connection of its own.
//!
//! A connection serves a single request. Bytes of another response can therefore not be mistaken
//! for this one, an idle connection that the target closes can't reset a request, and closing the
//! connection cancels the request.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::Full;
use hyper::{
    Request, Response, body::Incoming, client::conn::http1::Builder, ext::on_informational,
};
use hyper_util::rt::TokioIo;
use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::{sync::CancellationToken, task::AbortOnDropHandle};

/// Timeout for establishing a connection. Round trips take a few milliseconds, and a target whose
/// accept queue is full answers only after one second.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// Maximum size of the head of a response, in bytes, and of the read buffer of a connection. Targets
/// send a few hundred bytes, and as many connections as there are callers may be open.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Number of informational responses to one request after which no final one is expected. Sound
/// targets send one at most.
const MAX_INFORMATIONAL: usize = 16;

/// The reason why a request has no response head.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    /// The connection can't be established or configured, or the request can't be built; nothing
    /// was sent.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not established in time; nothing was sent.
    #[error("no connection within {CONNECT_TIME:?}")]
    ConnectTimeout,
    /// The connection failed after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The target sent informational responses without end.
    #[error("more than {MAX_INFORMATIONAL} informational responses")]
    Informational,
    /// The target sent no response head for this long, and the request can be retried at another
    /// target.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// A part of the prompt was quarantined while the target had not begun to answer.
    #[error("a part of the prompt was quarantined")]
    Quarantined,
    /// The entry is stopping, and the target had not begun to answer.
    #[error("the entry is stopping")]
    Stopping,
    /// The target sent no response head before the deadline.
    #[error("no answer within the time limit")]
    Timeout,
}

impl SendError {
    /// Returns whether no byte of the request was sent.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout)
    }
}

/// A response whose body has not been read, and the connection that the body comes from. Dropping
/// it closes the connection.
#[derive(Debug)]
pub(super) struct OpenResponse {
    pub(super) response: Response<Incoming>,
    pub(super) connection: AbortOnDropHandle<()>,
}

/// An open connection to a target that has not been used.
#[derive(Debug)]
pub(super) struct TargetConnection(TcpStream);

impl TargetConnection {
    /// Connects to the target at `address`.
    ///
    /// # Errors
    ///
    /// Returns `Connect` or `ConnectTimeout` if the connection fails or takes too long.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let connect = timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| SendError::ConnectTimeout)??;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Prepares the connection. The returned handle sends `request` when `wait_head` is first
    /// called.
    pub(super) async fn send(
        self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<PendingResponse, SendError> {
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (mut sender, driver) = builder.handshake(TokioIo::new(self.0)).await?;
        let connection = AbortOnDropHandle::new(tokio::spawn(async move {
            // Failures are reported by the request sender or the response body.
            let _ = driver.await;
        }));
        let excess = limit_informational(&mut request);
        let response = async move {
            tokio::select! {
                response = sender.send_request(request) => Ok(response?),
                () = excess.cancelled() => Err(SendError::Informational),
            }
        };
        let response = response.boxed();
        Ok(PendingResponse { response, connection })
    }
}

/// Returns a token that is cancelled after too many informational responses to `request`.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> CancellationToken {
    let (excess, count) = (CancellationToken::new(), AtomicUsize::new(0));
    let token = excess.clone();
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            excess.cancel();
        }
    });
    token
}

/// A request whose response head has not arrived; the first call of `wait_head` sends it.
pub(super) struct PendingResponse {
    response: BoxFuture<'static, Result<Response<Incoming>, SendError>>,
    connection: AbortOnDropHandle<()>,
}

impl PendingResponse {
    /// Waits up to `limit` for the head of the response; returns `None` if it has not arrived by
    /// then.
    pub(super) async fn wait_head(
        &mut self,
        limit: Duration,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        timeout(limit, &mut self.response).await.ok()
    }

    /// Combines `response` with the connection that its body comes from.
    pub(super) fn into_response(self, response: Response<Incoming>) -> OpenResponse {
        OpenResponse { response, connection: self.connection }
    }
}
