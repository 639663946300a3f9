//! Log records and metrics about the outcomes of requests.

use fulmarhead_lib::{
    cost::LengthClass,
    ids::{AttemptNumber, Position, RequestId, Tokens},
    outcome::Refusal,
};
use log::{debug, info};
use std::time::Duration;

/// Data about a request for its log record.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestSummary {
    pub(super) request: RequestId,
    pub(super) class: LengthClass,
    pub(super) attempts: AttemptNumber,
    /// Time from admission to the first item, if there was one.
    pub(super) first_delay: Option<Duration>,
    /// Time from admission until now.
    pub(super) total_time: Duration,
}

/// Records the time to the first token.
pub(super) fn record_first_token(class: LengthClass, time: Duration) {
    metrics::histogram!("fulmarhead_first_token_seconds", "class" => class.to_string())
        .record(time.as_secs_f64());
}

/// Records the prompt tokens that were expected in the cache of the engine, and those that its
/// answer reported.
pub(super) fn record_cached(request: RequestId, expected: Tokens, reported: Option<Tokens>) {
    metrics::counter!("fulmarhead_expected_cached_tokens_total").increment(expected);
    metrics::counter!("fulmarhead_cached_tokens_total").increment(reported.unwrap_or(0));
    if expected > 0 || reported.is_some_and(|cached| cached > 0) {
        debug!(
            target: "decision", request:%, expected, reported:? = reported;
            "prompt tokens in the cache of the engine"
        );
    }
}

/// Records a complete answer of `length` tokens.
pub(super) fn record_answered(summary: &RequestSummary, length: Position) {
    metrics::counter!("fulmarhead_answered_total", "class" => summary.class.to_string())
        .increment(1);
    let (request, attempts) = (summary.request, summary.attempts);
    let first_ms = summary.first_delay.map_or(0, millis);
    let total_ms = millis(summary.total_time);
    info!(
        target: "decision", request:%, attempts, tokens = length, first_ms, total_ms;
        "request answered"
    );
}

/// Records that an admitted request failed.
pub(super) fn record_failed(summary: &RequestSummary, refusal: &Refusal) {
    let reason = <&'static str>::from(refusal.reason);
    metrics::counter!("fulmarhead_failed_total", "reason" => reason).increment(1);
    let (request, attempts) = (summary.request, summary.attempts);
    let total_ms = millis(summary.total_time);
    info!(
        target: "decision", request:%, attempts, total_ms, reason, outcome:% = refusal.outcome;
        "request failed"
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
