//! Responses whose connection is aborted.

use axum::{
    body::{Body, Bytes},
    response::Response,
};
use futures::stream;
use std::io::{Error, ErrorKind};

/// Returns a response whose connection is aborted before the body.
pub(crate) fn aborted_response() -> Response {
    let error: Result<Bytes, Error> = Err(ErrorKind::ConnectionReset.into());
    Response::new(Body::from_stream(stream::iter([error])))
}
