//! Bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::convert::Infallible;

/// Why the body of an answer ends early. The caller's connection is closed then, so that the
/// answer does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Broken {
    /// The target's answer broke off and can't go on elsewhere.
    #[error("the target's answer broke off")]
    Target,
    /// The time limit has passed.
    #[error("the time limit has passed")]
    Timeout,
}

/// Body of an answer to a caller.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, Broken>;

/// Returns a body of known bytes.
pub(super) fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Returns a body whose pieces come over time.
pub(super) fn streamed(
    pieces: impl Stream<Item = Result<Bytes, Broken>> + Send + 'static,
) -> AnswerBody {
    let frames = futures::StreamExt::map(pieces, |piece| piece.map(Frame::data));
    StreamBody::new(frames).boxed_unsync()
}
