//! Sending of requests and classification of their responses.

mod call;
mod completion;
mod stream;
mod text;

pub(crate) use self::{call::call, completion::complete};

use crate::record::{ErrorKind, RequestResult};
use fulmarhead_lib::clock::SharedClock;
use fulmarhead_runtime::http::{Client, ClientError, read_body};
use hyper::{
    HeaderMap, Response,
    body::Incoming,
    header::{AUTHORIZATION, HeaderName, HeaderValue, InvalidHeaderValue},
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Header with the time limit of a request, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("fulmarhead-deadline-ms");

/// Largest problem document.
const MAX_PROBLEM_BYTES: usize = 65_536;

/// Client, entry and credentials with which a request is sent.
#[derive(Clone)]
pub(crate) struct RequestContext {
    pub(crate) client: Client,
    pub(crate) clock: SharedClock,
    pub(crate) entry: SocketAddr,
    pub(crate) token: String,
    pub(crate) deadline: Duration,
}

/// Token times and result of one response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseRecord {
    /// Arrival times of the tokens, or of the response of a call.
    pub(crate) token_times: Vec<Instant>,
    pub(crate) result: RequestResult,
}

impl RequestContext {
    fn headers(&self) -> Result<HeaderMap, InvalidHeaderValue> {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {}", self.token))?);
        headers.insert(DEADLINE_HEADER, (self.deadline.as_millis() as u64).into());
        Ok(headers)
    }
}

/// Returns the result of a request whose connection failed before a response.
fn connection_error(error: &ClientError) -> RequestResult {
    RequestResult::Error(if error.is_unsent() { ErrorKind::Connect } else { ErrorKind::Connection })
}

/// Reads the problem document of a response with an error status.
async fn read_problem(response: Response<Incoming>) -> RequestResult {
    match read_body(response.into_body(), MAX_PROBLEM_BYTES).await {
        Ok(body) => parse_problem(&body),
        Err(_) => RequestResult::Error(ErrorKind::Connection),
    }
}

fn parse_problem(text: &[u8]) -> RequestResult {
    match serde_json::from_slice(text) {
        Ok(kind) => RequestResult::Refused(kind),
        Err(_) => RequestResult::Error(ErrorKind::Malformed),
    }
}
