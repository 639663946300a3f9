//! Authentication of a caller, and the time limit of its request.

use crate::entry::Entry;
use axum::http::{HeaderMap, header::AUTHORIZATION};
use fulmarhead_lib::{
    config::{Bounds, Fleet, Team},
    digest::sha256_hex,
    limits::TeamBudget,
    outcome::{Reason, Refusal},
    request::Deadline,
};
use std::{sync::Arc, time::Duration};

/// Request header with the time limit in milliseconds.
const DEADLINE_HEADER: &str = "fulmarhead-deadline-ms";

/// An authenticated caller with the deadline and the configuration of its request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) team: Team,
    pub(crate) deadline: Deadline,
}

impl Caller {
    /// Authenticates the caller and reads the time limit of its request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no configuration is active, the bearer token is invalid, or the time
    /// limit is outside the configured bounds.
    pub(crate) fn from_headers(entry: &Entry, headers: &HeaderMap) -> Result<Self, Refusal> {
        let fleet = entry.fleet()?;
        let team = authenticate(&fleet, headers)?;
        let limit = requested_limit(&fleet.bounds, headers)?;
        let deadline = Deadline::after(entry.clock.now(), limit);
        Ok(Self { fleet, team, deadline })
    }

    /// Returns the share of this entry in the budget of the team.
    ///
    /// The budget is divided equally among the configured entries.
    pub(crate) fn budget(&self) -> TeamBudget {
        let entries = self.fleet.entries.len().max(1) as u64;
        TeamBudget {
            rate: self.team.tokens_per_second / entries,
            burst: self.team.burst_tokens / entries,
        }
    }
}

/// Returns the team to which the bearer token belongs.
fn authenticate(fleet: &Fleet, headers: &HeaderMap) -> Result<Team, Refusal> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let team = token.and_then(|token| fleet.team(&sha256_hex(token.as_bytes())));
    team.cloned().ok_or(Refusal::not_run(Reason::InvalidToken))
}

/// Returns the time limit in the headers, or the default if there is none.
fn requested_limit(bounds: &Bounds, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(bounds.default_deadline()) };
    let ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let allowed = bounds.min_deadline_ms..=bounds.max_deadline_ms;
    let ms = ms.filter(|ms| allowed.contains(ms));
    ms.map(Duration::from_millis).ok_or(Refusal::not_run(Reason::InvalidDeadline))
}
