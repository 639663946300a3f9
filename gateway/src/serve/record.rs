//! Decisions on requests in the log and the metrics.

use fulmarhead_lib::{
    forward::{FailureOutcome, Verdict},
    placement::{Choice, RequestProfile},
};
use log::info;
use std::time::Duration;

/// Records the choice of a target.
pub(super) fn chosen(
    request: &str,
    need: &RequestProfile,
    choice: &Choice,
    number: usize,
    left: Duration,
) {
    let Choice { target, load, candidates, .. } = choice;
    let (prompt, helpers) = (need.prompt_tokens, choice.helpers.len());
    let left_ms = millis(left);
    let (requests, writing, read_ms) = (load.requests, load.decoding, load.prefill_ms.round());
    info!(
        target: "decision", request, attempt = number, backend = target, candidates,
        requests, writing, read_ms, prompt, helpers, left_ms;
        "sending to a target"
    );
}

/// Records how an attempt ended that has no answer for the caller.
pub(super) fn attempt_failed(request: &str, target: &str, reason: &str, after: Duration) {
    metrics::counter!("fulmarhead_attempts_failed_total", "reason" => reason.to_owned())
        .increment(1);
    let after_ms = millis(after);
    info!(target: "decision", request, backend = target, reason, after_ms; "attempt failed");
}

/// Records an answer that the target rejected.
pub(super) fn verdict(request: &str, target: &str, verdict: Verdict, after: Duration) {
    attempt_failed(request, target, verdict.into(), after);
}

/// Times of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// From the request to the first byte.
    pub(super) first: Duration,
    /// Longest time between two pieces of the answer.
    pub(super) pause: Duration,
    /// From the request to the last byte.
    pub(super) total: Duration,
}

/// Records a whole answer.
pub(super) fn answered(request: &str, target: &str, status: u16, times: Times) {
    metrics::counter!("fulmarhead_answered_total").increment(1);
    metrics::histogram!("fulmarhead_first_byte_seconds").record(times.first.as_secs_f64());
    let (first_ms, pause_ms) = (millis(times.first), millis(times.pause));
    let total_ms = millis(times.total);
    info!(
        target: "decision", request, backend = target, status, first_ms, pause_ms, total_ms;
        "request answered"
    );
}

/// Records a request that no target answered.
pub(super) fn failed(request: &str, ending: FailureOutcome, after: Duration) {
    let (outcome, failure) = match ending {
        FailureOutcome::NotRun(failure) => ("not_run", failure),
        FailureOutcome::Unknown(failure) => ("unknown", failure),
    };
    let reason = <&'static str>::from(failure);
    metrics::counter!("fulmarhead_failed_total", "reason" => reason).increment(1);
    let total_ms = millis(after);
    info!(target: "decision", request, outcome, reason, total_ms; "request failed");
}

/// Records a request that the configuration does not allow.
pub(super) fn denied(request: &str, reason: &str, version: u64) {
    metrics::counter!("fulmarhead_denied_total", "reason" => reason.to_owned()).increment(1);
    info!(target: "decision", request, reason, version; "request denied");
}

/// Records an answer that broke off at the caller.
pub(super) fn broken(request: &str, reason: &str, events: Option<u64>, after: Duration) {
    metrics::counter!("fulmarhead_broken_total", "reason" => reason.to_owned()).increment(1);
    let total_ms = millis(after);
    info!(target: "decision", request, reason, last_event = events, total_ms; "answer broken off");
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
