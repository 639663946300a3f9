//! Who calls, and within what time.

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

/// Header with the time limit of a request, in milliseconds.
const DEADLINE: &str = "fulmarhead-deadline-ms";

/// An authenticated caller and the configuration that its request is decided by.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) team: Team,
    pub(crate) deadline: Deadline,
}

impl Caller {
    /// Reads the caller from the headers of its request.
    pub(crate) fn identify(entry: &Entry, headers: &HeaderMap) -> Result<Self, Refusal> {
        let fleet = entry.fleet()?;
        let team = team(&fleet, headers)?;
        let limit = time_limit(&fleet.bounds, headers)?;
        let deadline = Deadline::after(entry.clock.now(), limit);
        Ok(Self { fleet, team, deadline })
    }

    /// Returns the share of the team's budget that this entry gives out.
    pub(crate) fn budget(&self) -> TeamBudget {
        let entries = self.fleet.entries.len().max(1) as u64;
        TeamBudget {
            rate: self.team.tokens_per_second / entries,
            burst: self.team.burst_tokens / entries,
        }
    }
}

fn team(fleet: &Fleet, headers: &HeaderMap) -> Result<Team, Refusal> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let team = token.and_then(|token| fleet.team(&sha256_hex(token.as_bytes())));
    team.cloned().ok_or(Refusal::not_run(Reason::InvalidToken))
}

fn time_limit(bounds: &Bounds, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(bounds.default_deadline()) };
    let ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let allowed = bounds.min_deadline_ms..=bounds.max_deadline_ms;
    let ms = ms.filter(|ms| allowed.contains(ms));
    ms.map(Duration::from_millis).ok_or(Refusal::not_run(Reason::InvalidDeadline))
}
