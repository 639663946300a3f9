//! Headers of requests that entries forward to agents, and of the agents' responses.

use fulmarhead_lib::{
    control::Load,
    cost::Cost,
    ids::{AttemptNumber, LeaseId, Position, RequestId, Revision, TeamId},
};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, InvalidHeaderValue};
use std::{str::FromStr, time::Duration};

const REQUEST: HeaderName = HeaderName::from_static("fh-request");
const ATTEMPT: HeaderName = HeaderName::from_static("fh-attempt");
const TEAM: HeaderName = HeaderName::from_static("fh-team");
const REMAINING: HeaderName = HeaderName::from_static("fh-remaining-ms");
const PRIORITY: HeaderName = HeaderName::from_static("fh-priority");
const REVISION: HeaderName = HeaderName::from_static("fh-revision");
const PROMPT: HeaderName = HeaderName::from_static("fh-prompt-tokens");
const OUTPUT: HeaderName = HeaderName::from_static("fh-output-tokens");
const LEASE: HeaderName = HeaderName::from_static("fh-lease");

const KEEP_STREAM: HeaderName = HeaderName::from_static("fh-hold");
const RESUME_FROM: HeaderName = HeaderName::from_static("fh-resume-from");

/// Response header with the load of the target.
pub const LOAD: HeaderName = HeaderName::from_static("fh-load");

/// Response header that marks a refusal by the agent, as opposed to an error of the target itself.
pub const REFUSAL: HeaderName = HeaderName::from_static("fh-refusal");

/// Request header with the idempotency key that the caller chose.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Metadata of a forwarded request, which the agent reads before the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkHeaders {
    /// ID of the caller's request.
    pub request: RequestId,
    /// Number of the entry's attempt to serve the request.
    pub attempt: AttemptNumber,
    /// Team of the caller.
    pub team: TeamId,
    /// Remaining time before the request's deadline.
    pub remaining: Duration,
    /// Priority at the engine; 0 is served first.
    pub priority: u8,
    /// Active configuration revision of the entry.
    pub revision: Revision,
    /// Estimated cost in prompt and output tokens.
    pub cost: Cost,
    /// Lease on engine memory reserved for the request.
    pub lease: Option<LeaseId>,
    /// Whether to keep the stream available for a while after its reader disconnects.
    pub keep_stream: bool,
    /// Position from which to resume a stream that was kept.
    pub resume_from: Option<Position>,
}

/// Reasons why request headers are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A required header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// The value of a header can't be parsed.
    #[error("header {0} is invalid")]
    Invalid(&'static str),
}

impl WorkHeaders {
    /// Encodes the metadata as headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the team ID contains characters that a header can't carry.
    pub fn to_headers(&self) -> Result<HeaderMap, InvalidHeaderValue> {
        let mut headers = HeaderMap::new();
        headers.insert(REQUEST, HeaderValue::from_str(&self.request.to_string())?);
        headers.insert(ATTEMPT, self.attempt.into());
        headers.insert(TEAM, HeaderValue::from_str(&self.team)?);
        headers.insert(REMAINING, (self.remaining.as_millis() as u64).into());
        headers.insert(PRIORITY, u16::from(self.priority).into());
        headers.insert(REVISION, self.revision.into());
        headers.insert(PROMPT, self.cost.prompt.into());
        headers.insert(OUTPUT, self.cost.output.into());
        if let Some(lease) = self.lease {
            headers.insert(LEASE, HeaderValue::from_str(&lease.to_string())?);
        }
        if self.keep_stream {
            headers.insert(KEEP_STREAM, HeaderValue::from_static("1"));
        }
        if let Some(position) = self.resume_from {
            headers.insert(RESUME_FROM, position.into());
        }
        Ok(headers)
    }

    /// Decodes the metadata from headers.
    ///
    /// # Errors
    ///
    /// Returns an error if a required header is missing or a header is invalid.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, HeaderError> {
        Ok(Self {
            request: parse(headers, &REQUEST, "fh-request")?,
            attempt: parse(headers, &ATTEMPT, "fh-attempt")?,
            team: parse(headers, &TEAM, "fh-team")?,
            remaining: Duration::from_millis(parse(headers, &REMAINING, "fh-remaining-ms")?),
            priority: parse(headers, &PRIORITY, "fh-priority")?,
            revision: parse(headers, &REVISION, "fh-revision")?,
            cost: Cost {
                prompt: parse(headers, &PROMPT, "fh-prompt-tokens")?,
                output: parse(headers, &OUTPUT, "fh-output-tokens")?,
            },
            lease: parse_optional(headers, &LEASE, "fh-lease")?,
            keep_stream: headers.contains_key(KEEP_STREAM),
            resume_from: parse_optional(headers, &RESUME_FROM, "fh-resume-from")?,
        })
    }
}

/// Encodes a load as the value of the header [`LOAD`].
pub fn encode_load(load: &Load) -> Option<HeaderValue> {
    let text = serde_json::to_string(load).ok()?;
    HeaderValue::from_str(&text).ok()
}

/// Decodes the load in the headers of a response; returns `None` if it is missing or invalid.
pub fn decode_load(headers: &HeaderMap) -> Option<Load> {
    let value = headers.get(LOAD)?.to_str().ok()?;
    serde_json::from_str(value).ok()
}

fn parse_optional<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<Option<T>, HeaderError> {
    match headers.contains_key(name) {
        true => parse(headers, name, label).map(Some),
        false => Ok(None),
    }
}

fn parse<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<T, HeaderError> {
    let value = headers.get(name).ok_or(HeaderError::Missing(label))?;
    let value = value.to_str().map_err(|_| HeaderError::Invalid(label))?;
    value.parse().map_err(|_| HeaderError::Invalid(label))
}
