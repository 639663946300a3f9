//! Writes the outcome of each request to the log and the metrics.

use super::handle::RequestContext;
use crate::quarantine::parts_text;
use fulmarhead_lib::{
    forward::{EventError, FailureOutcome, Progress, Verdict},
    placement::{Choice, RequestProfile},
    quarantine::Refusal,
};
use fulmarhead_platform::RequestHead;
use fulmarhead_runtime::http::BodyReadError;
use log::info;
use std::time::Duration;

/// Records that a target was selected, with its load at that time.
pub(super) fn target_chosen(
    request: &str,
    profile: &RequestProfile,
    choice: &Choice,
    attempt_number: usize,
    remaining: Duration,
) {
    let Choice { target, load, candidates, .. } = choice;
    let (prompt, helpers) = (profile.prompt_tokens, choice.helpers.len());
    let left_ms = millis(remaining);
    let (requests, writing, read_ms) = (load.requests, load.decoding, load.prefill_ms.round());
    info!(
        target: "decision", request, attempt = attempt_number, backend = target, candidates,
        requests, writing, read_ms, prompt, helpers, left_ms;
        "sending to a target"
    );
}

/// Records an attempt that ended without a response for the caller. The parts of the prompt and the
/// digest of the content show what requests that fail in the same way have in common.
pub(super) fn attempt_failed(
    context: &RequestContext,
    target: &str,
    progress: Progress,
    reason: &str,
    elapsed: Duration,
) {
    metrics::counter!("fulmarhead_attempts_failed_total", "reason" => reason.to_owned())
        .increment(1);
    let request = &*context.head.request_id;
    let progress = <&'static str>::from(progress);
    let (parts, after_ms) = (parts_text(&context.features), millis(elapsed));
    let content = format!("{:x}", context.content);
    info!(
        target: "decision", request, backend = target, progress, parts, content, reason, after_ms;
        "attempt failed"
    );
}

/// Records a target's response that the gateway does not pass to the caller.
pub(super) fn response_discarded(
    context: &RequestContext,
    target: &str,
    verdict: Verdict,
    elapsed: Duration,
) {
    attempt_failed(context, target, Progress::Waiting, verdict.into(), elapsed);
}

/// Records that a target did not run a request because its helper `helper` failed.
pub(super) fn helper_failed(request: &str, target: &str, helper: &str) {
    metrics::counter!("fulmarhead_helpers_failed_total").increment(1);
    info!(
        target: "decision", request, backend = target, helper;
        "target refused the request because of a helper; trying other helpers"
    );
}

/// Timing of a response.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseTimes {
    /// Time from the request to the first byte of the response.
    pub(super) first_byte: Duration,
    /// Longest time between two chunks of the response.
    pub(super) max_pause: Duration,
    /// Time from the request to the last byte of the response.
    pub(super) total: Duration,
}

/// Records a complete response.
pub(super) fn request_answered(request: &str, target: &str, status: u16, times: ResponseTimes) {
    metrics::counter!("fulmarhead_answered_total").increment(1);
    metrics::histogram!("fulmarhead_first_byte_seconds").record(times.first_byte.as_secs_f64());
    let (first_ms, pause_ms) = (millis(times.first_byte), millis(times.max_pause));
    let total_ms = millis(times.total);
    info!(
        target: "decision", request, backend = target, status, first_ms, pause_ms, total_ms;
        "request answered"
    );
}

/// Records a request to which the gateway itself responds, because it has no complete response from
/// a target.
pub(super) fn request_failed(request: &str, failure_outcome: FailureOutcome, elapsed: Duration) {
    let (outcome, failure) = match failure_outcome {
        FailureOutcome::NotRun(failure) => ("not_run", failure),
        FailureOutcome::Unknown(failure) => ("unknown", failure),
    };
    let reason = <&'static str>::from(failure);
    metrics::counter!("fulmarhead_failed_total", "reason" => reason).increment(1);
    let total_ms = millis(elapsed);
    info!(target: "decision", request, outcome, reason, total_ms; "request failed");
}

/// Records a request that is refused because its body was not read. `held_bytes` is the memory that
/// all bodies hold.
pub(super) fn body_unread(request: &str, error: BodyReadError, held_bytes: usize) {
    let reason = <&'static str>::from(error);
    info!(target: "decision", request, reason, held_bytes; "request refused; its body was not read");
}

/// Records a request that is refused, or whose attempt was ended, because parts of its prompt
/// crash targets.
pub(super) fn request_quarantined(context: &RequestContext, refusal: &Refusal) {
    let request = &*context.head.request_id;
    let (parts, remaining_ms) = (parts_text(&refusal.features), millis(refusal.remaining));
    let content = format!("{:x}", context.content);
    info!(target: "decision", request, parts, content, remaining_ms; "the prompt is quarantined");
}

/// Records a request that the configuration denies.
pub(super) fn request_denied(request: &str, reason: &str, version: u64) {
    metrics::counter!("fulmarhead_denied_total", "reason" => reason.to_owned()).increment(1);
    info!(target: "decision", request, reason, version; "request denied by the configuration");
}

/// Records that the rest of a target's stream is not passed on, because of `error`.
pub(super) fn stream_rejected(head: &RequestHead, target: &str, error: EventError) {
    let kind = <&'static str>::from(error);
    metrics::counter!("fulmarhead_rejected_streams_total", "error" => kind).increment(1);
    let request = &*head.request_id;
    info!(
        target: "decision", request, backend = target, error:%;
        "rejected the rest of a target's stream"
    );
}

/// Records an event stream that ended early and that no target resumed.
pub(super) fn response_interrupted(
    request: &str,
    reason: &str,
    last_event: Option<u64>,
    elapsed: Duration,
) {
    metrics::counter!("fulmarhead_broken_total", "reason" => reason.to_owned()).increment(1);
    let total_ms = millis(elapsed);
    info!(
        target: "decision", request, reason, last_event, total_ms;
        "response ended early; closing the caller's connection"
    );
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
