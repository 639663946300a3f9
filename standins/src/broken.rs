//! Answers whose connection breaks.

use axum::{
    body::{Body, Bytes},
    response::Response,
};
use futures::stream;
use std::io::{Error, ErrorKind};

/// Returns an answer whose connection breaks before the body.
pub(crate) fn broken() -> Response {
    let failure: Result<Bytes, Error> = Err(ErrorKind::ConnectionReset.into());
    Response::new(Body::from_stream(stream::iter([failure])))
}
