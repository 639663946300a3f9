//! Outcomes of requests in the log and the metrics.

use fulmarhead_lib::{
    cost::LengthClass,
    ids::{AttemptNumber, Position, RequestId},
    outcome::Refusal,
};
use log::info;
use std::time::Duration;

/// A request that has its outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completed {
    pub(super) request: RequestId,
    pub(super) class: LengthClass,
    pub(super) attempts: AttemptNumber,
    /// Time to the first token, if there was one.
    pub(super) first: Option<Duration>,
    pub(super) total: Duration,
}

/// Records the first token of an answer.
pub(super) fn first_token(class: LengthClass, time: Duration) {
    metrics::histogram!("fulmarhead_first_token_seconds", "class" => class.to_string())
        .record(time.as_secs_f64());
}

/// Records a whole answer of `length` tokens.
pub(super) fn answered(done: &Completed, length: Position) {
    metrics::counter!("fulmarhead_answered_total", "class" => done.class.to_string()).increment(1);
    let (request, attempts) = (done.request, done.attempts);
    let first_ms = done.first.map_or(0, millis);
    let total_ms = millis(done.total);
    info!(
        target: "decision", request:%, attempts, tokens = length, first_ms, total_ms;
        "request answered"
    );
}

/// Records a request that was admitted and failed.
pub(super) fn failed(done: &Completed, refusal: &Refusal) {
    let reason = <&'static str>::from(refusal.reason);
    metrics::counter!("fulmarhead_failed_total", "reason" => reason).increment(1);
    let (request, attempts) = (done.request, done.attempts);
    let total_ms = millis(done.total);
    info!(
        target: "decision", request:%, attempts, total_ms, reason, outcome:% = refusal.outcome;
        "request failed"
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
