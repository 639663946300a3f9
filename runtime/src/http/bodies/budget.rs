//! Bodies of callers within the memory that the process has for them.

use super::{
    buffer::{BodyBuffer, HeldBody},
    claim::Shared,
};
use bytes::Bytes;
use fulmarhead_lib::{
    clock::SharedClock,
    limits::{BodyKind, BodyMemory},
};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};
use strum::IntoStaticStr;
use tokio::time::timeout;

/// The reason why a body was not read. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, IntoStaticStr)]
pub enum BodyReadError {
    /// The body, or its announced length, is over the limit.
    #[error("the body is too large")]
    #[strum(serialize = "body_too_large")]
    TooLarge,
    /// The memory for bodies is used up.
    #[error("there is no memory for the body")]
    #[strum(serialize = "no_body_memory")]
    NoMemory,
    /// The body made no progress for a time, and others needed its memory.
    #[error("the body made no progress")]
    #[strum(serialize = "body_stalled")]
    Stalled,
    /// The body was not complete within the time limit.
    #[error("the body took too long")]
    #[strum(serialize = "body_timeout")]
    Timeout,
    /// The connection failed, or the body is malformed.
    #[error("the body can't be read")]
    #[strum(serialize = "malformed_body")]
    Broken,
}

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub bytes: usize,
    /// Maximum time to receive the body.
    pub time: Duration,
    /// Number of times that its bytes are held while the request runs, at least 1.
    pub copies: usize,
}

/// Memory of the process for the bodies that it holds for callers. Clones share it.
#[derive(Clone)]
pub struct BodyBudget(pub(super) Arc<Shared>);

impl Debug for BodyBudget {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BodyBudget").field("held", &self.held()).finish_non_exhaustive()
    }
}

impl BodyBudget {
    /// Returns the budget of a process that may use `process_bytes` bytes of memory in all.
    pub fn new(process_bytes: u64, clock: SharedClock) -> Self {
        let memory = BodyMemory::new(process_bytes);
        metrics::gauge!("fulmarhead_body_capacity_bytes").set(memory.capacity() as f64);
        Self(Arc::new(Shared::new(memory, clock)))
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub fn held(&self) -> usize {
        self.0.held()
    }

    /// Ends the request bodies that have made no progress for a time, because others need their
    /// connections. Returns their number.
    pub fn end_stalled(&self) -> usize {
        self.0.end_stalled()
    }

    /// Reads the body of a request within its limits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the body was not read. The rest of it is not read then, so that the
    /// connection can't serve another request.
    pub async fn read_request<B>(
        &self,
        body: B,
        limits: BodyLimits,
    ) -> Result<HeldBody, BodyReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let result = timeout(limits.time, self.receive(body, limits)).await;
        let result = result.unwrap_or(Err(BodyReadError::Timeout));
        if let Err(error) = result {
            let reason = <&'static str>::from(error);
            metrics::counter!("fulmarhead_unread_bodies_total", "reason" => reason).increment(1);
        }
        result
    }

    async fn receive<B>(&self, mut body: B, limits: BodyLimits) -> Result<HeldBody, BodyReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        // Without an announced length this is 0.
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > limits.bytes {
            return Err(BodyReadError::TooLarge);
        }
        let is_announced = body.size_hint().exact().is_some();
        let max_bytes = if is_announced { announced } else { limits.bytes };
        let kind = BodyKind::Request { copies: limits.copies };
        let mut buffer = BodyBuffer::new(self, kind, max_bytes);
        buffer.wait_room(announced).await?;
        let token = buffer.token().clone();
        loop {
            let frame = tokio::select! {
                biased;
                () = token.cancelled() => return Err(BodyReadError::Stalled),
                frame = body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        buffer.push(&bytes).await?;
                    }
                }
                Some(Err(_)) => return Err(BodyReadError::Broken),
                None => return Ok(buffer.finish()),
            }
        }
    }
}
