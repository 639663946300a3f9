//! Time that a request spent between its decisions.

use super::lines::Decision;
use serde::Serialize;
use std::collections::BTreeMap;
use strum::Display;

/// What a request waits for between two decisions. The output has the order of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
pub(super) enum Wait {
    /// The entry chooses a target.
    #[strum(to_string = "choice of a target at the entry")]
    Choice,
    /// The attempt is sent to the agent, or the agent decides about it.
    #[serde(rename = "way")]
    #[strum(to_string = "way to the agent and its decision")]
    Agent,
    /// Engine memory is being reserved, or the first segment is sent to its agent.
    #[strum(to_string = "reservation of engine memory")]
    Memory,
    /// The target processes the attempt.
    #[strum(to_string = "work at the target")]
    Target,
    /// The entry delays its next attempt after a refusal or a failure.
    #[strum(to_string = "pause after a refusal or failure")]
    Retry,
    /// The response is sent back.
    #[strum(to_string = "way of the answer back")]
    Answer,
    /// Any other step.
    #[strum(to_string = "other")]
    Other,
}

impl Wait {
    /// Returns what a request waits for after the decision with `message`.
    pub(super) fn after(message: &str) -> Self {
        match message {
            "request admitted" => Self::Choice,
            "target chosen" | "call sent" => Self::Agent,
            "lease asked for" | "memory reserved" => Self::Memory,
            "attempt admitted" | "key checked" => Self::Target,
            "attempt refused" | "stream broke off" => Self::Retry,
            "attempt ended" => Self::Answer,
            _ => Self::Other,
        }
    }
}

/// Returns the time from the previous decision to each decision, in milliseconds; 0 for the first.
pub(super) fn gaps(decisions: &[Decision]) -> Vec<f64> {
    let first = decisions.first();
    let previous = first.into_iter().chain(decisions);
    let gap = |(previous, current): (&Decision, &Decision)| {
        let gap = current.time.signed_duration_since(previous.time);
        gap.num_microseconds().unwrap_or(i64::MAX) as f64 / 1_000.0
    };
    previous.zip(decisions).map(gap).collect()
}

/// Returns the total time of each kind of wait, in milliseconds.
pub(super) fn wait_times(decisions: &[Decision]) -> BTreeMap<Wait, f64> {
    let mut wait_times = BTreeMap::new();
    for (previous, gap) in decisions.iter().zip(gaps(decisions).into_iter().skip(1)) {
        *wait_times.entry(Wait::after(&previous.message)).or_default() += gap;
    }
    wait_times
}
