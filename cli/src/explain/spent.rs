//! Where the time of a request went.

use super::lines::Decision;
use serde::Serialize;
use std::collections::BTreeMap;
use strum::Display;

/// What a request waits for between two decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
pub(super) enum Wait {
    /// The entry chooses a target.
    #[strum(to_string = "choice of a target at the entry")]
    Choice,
    /// The attempt is on its way to the agent, or the agent decides.
    #[strum(to_string = "way to the agent and its decision")]
    Way,
    /// Engine memory is reserved.
    #[strum(to_string = "reservation of engine memory")]
    Memory,
    /// The target works.
    #[strum(to_string = "work at the target")]
    Target,
    /// The entry waits after a refusal or a failure before its next attempt.
    #[strum(to_string = "pause after a refusal or failure")]
    Retry,
    /// The answer is on its way back.
    #[strum(to_string = "way of the answer back")]
    Answer,
    /// Anything else.
    #[strum(to_string = "other")]
    Other,
}

impl Wait {
    /// Returns what a request waits for after the decision with `message`.
    pub(super) fn after(message: &str) -> Self {
        match message {
            "request admitted" => Self::Choice,
            "target chosen" | "call sent" => Self::Way,
            "lease asked for" | "memory reserved" => Self::Memory,
            "attempt admitted" | "key checked" => Self::Target,
            "attempt refused" | "stream broke off" => Self::Retry,
            "attempt ended" => Self::Answer,
            _ => Self::Other,
        }
    }
}

/// Returns the time from the decision before to each decision, in milliseconds.
pub(super) fn gaps(decisions: &[Decision]) -> Vec<f64> {
    let first = decisions.first();
    let before = first.into_iter().chain(decisions);
    let gap = |(before, at): (&Decision, &Decision)| {
        let gap = at.time.signed_duration_since(before.time);
        gap.num_microseconds().unwrap_or(i64::MAX) as f64 / 1_000.0
    };
    before.zip(decisions).map(gap).collect()
}

/// Adds up the time of each kind of wait, in milliseconds.
pub(super) fn spent(decisions: &[Decision]) -> BTreeMap<Wait, f64> {
    let mut spent = BTreeMap::new();
    for (before, gap) in decisions.iter().zip(gaps(decisions).into_iter().skip(1)) {
        *spent.entry(Wait::after(&before.message)).or_default() += gap;
    }
    spent
}
