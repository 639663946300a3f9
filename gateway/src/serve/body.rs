//! Bodies of responses to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// The reason why a response body ends early. The server then closes the caller's connection, so
/// that the response does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// The target's response ended early and can't be resumed at another target.
    #[error("the target's response ended early")]
    TargetInterrupted,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    Timeout,
    /// The process is about to end.
    #[error("the entry is stopping")]
    Stopping,
}

/// Body of a response to a caller.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body that sends each chunk as soon as the stream yields it.
pub(super) fn stream_body(
    chunks: impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
) -> ResponseBody {
    let frames = futures::StreamExt::map(chunks, |chunk| chunk.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}
