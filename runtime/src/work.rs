//! Headers of work that an entry sends to an agent.

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

const HOLD: HeaderName = HeaderName::from_static("fh-hold");
const RESUME: HeaderName = HeaderName::from_static("fh-resume-from");

/// Load of the target, on each answer to work.
pub const LOAD: HeaderName = HeaderName::from_static("fh-load");

/// Marks the body of a refused answer, as opposed to an error of the target itself.
pub const REFUSAL: HeaderName = HeaderName::from_static("fh-refusal");

/// Header with a caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What an agent needs to know of a piece of work before it reads the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkHeaders {
    /// Request that the work belongs to.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Team of the caller.
    pub team: TeamId,
    /// Remaining time limit.
    pub remaining: Duration,
    /// Priority at the engine; 0 is served first.
    pub priority: u8,
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Estimated cost.
    pub cost: Cost,
    /// Lease on engine memory.
    pub lease: Option<LeaseId>,
    /// Whether to keep the stream for a while when its reader goes away.
    pub hold: bool,
    /// Position from which to resume a kept stream.
    pub resume: Option<Position>,
}

/// Why headers are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// A header has an invalid value.
    #[error("header {0} is invalid")]
    Invalid(&'static str),
}

impl WorkHeaders {
    /// Writes the headers.
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
        if self.hold {
            headers.insert(HOLD, HeaderValue::from_static("1"));
        }
        if let Some(position) = self.resume {
            headers.insert(RESUME, position.into());
        }
        Ok(headers)
    }

    /// Reads the headers.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, HeaderError> {
        Ok(Self {
            request: read(headers, &REQUEST, "fh-request")?,
            attempt: read(headers, &ATTEMPT, "fh-attempt")?,
            team: read(headers, &TEAM, "fh-team")?,
            remaining: Duration::from_millis(read(headers, &REMAINING, "fh-remaining-ms")?),
            priority: read(headers, &PRIORITY, "fh-priority")?,
            revision: read(headers, &REVISION, "fh-revision")?,
            cost: Cost {
                prompt: read(headers, &PROMPT, "fh-prompt-tokens")?,
                output: read(headers, &OUTPUT, "fh-output-tokens")?,
            },
            lease: read_optional(headers, &LEASE, "fh-lease")?,
            hold: headers.contains_key(HOLD),
            resume: read_optional(headers, &RESUME, "fh-resume-from")?,
        })
    }
}

/// Writes a load as the value of the header [`LOAD`].
pub fn write_load(load: &Load) -> Option<HeaderValue> {
    let text = serde_json::to_string(load).ok()?;
    HeaderValue::from_str(&text).ok()
}

/// Reads the load from the headers of an answer.
pub fn read_load(headers: &HeaderMap) -> Option<Load> {
    let value = headers.get(LOAD)?.to_str().ok()?;
    serde_json::from_str(value).ok()
}

fn read_optional<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    text: &'static str,
) -> Result<Option<T>, HeaderError> {
    match headers.contains_key(name) {
        true => read(headers, name, text).map(Some),
        false => Ok(None),
    }
}

fn read<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    text: &'static str,
) -> Result<T, HeaderError> {
    let value = headers.get(name).ok_or(HeaderError::Missing(text))?;
    let value = value.to_str().map_err(|_| HeaderError::Invalid(text))?;
    value.parse().map_err(|_| HeaderError::Invalid(text))
}
