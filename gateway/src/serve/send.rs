//! One request on a connection of its own to a target.
//!
//! A connection serves one request, so that no byte of another answer can be taken for this one,
//! none can be reset because the target closed it meanwhile, and closing it cancels the request.

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1::Builder};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

/// Longest time for a connection to be set up; round trips take a few milliseconds, and a target
/// whose queue of connections is full answers only after a second.
const CONNECT_TIME: Duration = Duration::from_millis(250);

/// Why a request has no head of an answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum SendError {
    /// The connection could not be set up; nothing was sent.
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    /// The connection was not set up in time; nothing was sent.
    #[error("no connection within {CONNECT_TIME:?}")]
    ConnectTimeout,
    /// The connection failed after the request may have been sent.
    #[error("connection lost: {0}")]
    Lost(#[from] hyper::Error),
    /// No head of an answer came, and the request can go on at another target.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// No head of an answer came until the end of the time limit.
    #[error("no answer within the time limit")]
    Timeout,
}

impl SendError {
    /// Returns whether nothing of the request has left this process.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout)
    }
}

/// The head of an answer, and the connection that its body comes from; dropping it closes the
/// connection.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) response: Response<Incoming>,
    pub(super) connection: AbortOnDropHandle<()>,
}

/// An open connection to a target that has not been used.
#[derive(Debug)]
pub(super) struct Link(TcpStream);

impl Link {
    /// Connects to a target.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let connect = timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| SendError::ConnectTimeout)??;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Sends `request`; the answer's head comes from the future that is returned.
    pub(super) async fn send(self, request: Request<Full<Bytes>>) -> Result<Pending, SendError> {
        let (mut sender, driver) = Builder::new().handshake(TokioIo::new(self.0)).await?;
        let connection = AbortOnDropHandle::new(tokio::spawn(async move {
            // The sender or the body reports what failed.
            let _ = driver.await;
        }));
        let answer = async move { sender.send_request(request).await }.boxed();
        Ok(Pending { answer, connection })
    }
}

/// A request that was sent and has no answer yet.
pub(super) struct Pending {
    answer: BoxFuture<'static, hyper::Result<Response<Incoming>>>,
    connection: AbortOnDropHandle<()>,
}

impl Pending {
    /// Waits up to `limit` for the head of the answer; returns none if it is not here by then.
    pub(super) async fn head(
        &mut self,
        limit: Duration,
    ) -> Option<hyper::Result<Response<Incoming>>> {
        timeout(limit, &mut self.answer).await.ok()
    }

    /// Returns the reply of which `response` is the head.
    pub(super) fn reply(self, response: Response<Incoming>) -> Reply {
        Reply { response, connection: self.connection }
    }
}
