//! One request, from its arrival to its end.

mod call;
mod completion;
mod stream;
mod text;

pub(crate) use self::{call::call, completion::complete};

use crate::record::{Ending, ErrorKind};
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
const DEADLINE: HeaderName = HeaderName::from_static("fulmarhead-deadline-ms");

/// Largest problem document, in bytes.
const MAX_PROBLEM: usize = 65_536;

/// What a request needs to be sent.
#[derive(Clone)]
pub(crate) struct Sender {
    pub(crate) client: Client,
    pub(crate) clock: SharedClock,
    pub(crate) entry: SocketAddr,
    pub(crate) token: String,
    pub(crate) deadline: Duration,
}

/// What was seen of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Times of the tokens, or of the answer of a call.
    pub(crate) tokens: Vec<Instant>,
    pub(crate) ending: Ending,
}

impl Sender {
    fn headers(&self) -> Result<HeaderMap, InvalidHeaderValue> {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_str(&format!("Bearer {}", self.token))?);
        headers.insert(DEADLINE, (self.deadline.as_millis() as u64).into());
        Ok(headers)
    }
}

/// Returns the ending of a request whose answer did not begin.
fn failed(error: &ClientError) -> Ending {
    Ending::Error(if error.is_unsent() { ErrorKind::Connect } else { ErrorKind::Connection })
}

/// Reads the problem document of an answer without success.
async fn read_problem(answer: Response<Incoming>) -> Ending {
    match read_body(answer.into_body(), MAX_PROBLEM).await {
        Ok(body) => parse_problem(&body),
        Err(_) => Ending::Error(ErrorKind::Connection),
    }
}

fn parse_problem(text: &[u8]) -> Ending {
    match serde_json::from_slice(text) {
        Ok(refused) => Ending::Refused(refused),
        Err(_) => Ending::Error(ErrorKind::Malformed),
    }
}
