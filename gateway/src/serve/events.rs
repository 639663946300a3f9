//! Responses that are event streams, which are resumed at another target when one is interrupted.

use super::{
    attempt::{SILENCE_CHECK_INTERVAL, TargetResponse, frame_data, run_attempt, should_fail_over},
    body::{BodyError, ResponseBody, stream_body},
    handle::RequestContext,
    record::{self, ResponseTimes},
};
use async_stream::stream;
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{EventBuffer, Failure, Progress},
    placement::AttemptResult,
    quarantine::{LifeSign, PartSet},
};
use fulmarhead_platform::caller_response_headers;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use tokio::time::timeout;

/// Returns a response that passes on the target's event stream.
pub(super) fn stream_response(
    context: RequestContext,
    target_response: TargetResponse,
) -> Response<ResponseBody> {
    let status = target_response.head.status;
    let headers = caller_response_headers(&target_response.headers);
    let mut response = Response::new(stream_body(event_chunks(context, target_response)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

/// Parts of a request that is not quarantined any more.
static NO_PARTS: PartSet = PartSet::new();

/// The outcome of a read from a target's stream.
enum ReadOutcome {
    /// Complete events, encoded for the caller.
    Events(Vec<u8>),
    /// The stream ended after at least one event, and no event is partial. Holds what followed the
    /// last event, encoded for the caller.
    Complete(Vec<u8>),
    /// The connection failed, there was no event, an event was partial or out of order, bytes were
    /// no event, the target was silent, or the deadline passed.
    Interrupted(Failure),
}

/// Yields the events of the response, which may come from several targets in turn.
fn event_chunks(
    context: RequestContext,
    target_response: TargetResponse,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static {
    stream! {
        let mut buffer = EventBuffer::resume_after(context.head.last_event);
        let mut target_response = target_response;
        let mut times = ResponseTimes::default();
        let mut started = false;
        // Time since the request was received.
        let mut last_chunk_at = context.elapsed();
        loop {
            let failure = loop {
                match read_events(&context, &mut target_response, &mut buffer).await {
                    ReadOutcome::Events(events) => {
                        let now = context.elapsed();
                        match started {
                            true => times.max_pause =
                                times.max_pause.max(now.saturating_sub(last_chunk_at)),
                            false => times.first_byte = now,
                        }
                        (started, last_chunk_at) = (true, now);
                        if let Some(sign) = target_response.work.record_events() {
                            context.gateway.record_sign(sign, &context.head.shared_parts);
                        }
                        yield Ok(Bytes::from(events));
                    }
                    ReadOutcome::Complete(rest) => {
                        if !rest.is_empty() {
                            yield Ok(Bytes::from(rest));
                        }
                        target_response.work.set_result(AttemptResult::Answered);
                        let sign = LifeSign::Survival;
                        if target_response.work.record_sign(sign).is_some() {
                            context.gateway.record_sign(sign, &context.head.shared_parts);
                        }
                        let (request, target) =
                            (&context.head.request_id, target_response.call.target());
                        times.total = context.elapsed();
                        record::request_answered(
                            request,
                            target,
                            target_response.head.status,
                            times,
                        );
                        return;
                    }
                    ReadOutcome::Interrupted(failure) => break failure,
                }
            };
            match resume(&context, target_response, &mut buffer, failure).await {
                Some(next) => target_response = next,
                None => {
                    let (request, last_event) = (&context.head.request_id, buffer.last_event());
                    record::response_interrupted(
                        request,
                        failure.into(),
                        last_event,
                        context.elapsed(),
                    );
                    yield Err(match failure {
                        Failure::Timeout => BodyError::Timeout,
                        _ => BodyError::TargetInterrupted,
                    });
                    return;
                }
            }
        }
    }
}

/// Reads until at least one event is complete or the stream ends.
///
/// Silence ends the stream before its deadline only if it can be resumed at another target.
async fn read_events(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    buffer: &mut EventBuffer,
) -> ReadOutcome {
    let clock = &context.gateway.clock;
    // A request whose answer goes on for some time does not crash its target.
    let unanswered_parts = match target_response.work.progress() {
        Progress::Streaming => &NO_PARTS,
        Progress::Waiting | Progress::Begun | Progress::Started => &context.head.shared_parts,
    };
    let last_activity = clock.now();
    let mut silence_end = last_activity + context.silence_timeout();
    loop {
        // The events before the error have been passed on.
        if let Some(error) = buffer.error() {
            record::stream_rejected(&context.head, target_response.call.target(), error);
            return ReadOutcome::Interrupted(Failure::BadAnswer);
        }
        let remaining = target_response.call.deadline().remaining(clock.now());
        // Bytes that complete no event do not end the silence.
        let wait = silence_end.saturating_duration_since(clock.now());
        let frame = timeout(remaining.min(wait), target_response.body.frame());
        let frame = tokio::select! {
            biased;
            frame = frame => frame,
            () = context.gateway.wait_quarantined(unanswered_parts) => {
                return ReadOutcome::Interrupted(Failure::Quarantined);
            }
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return ReadOutcome::Interrupted(Failure::ConnectionLost),
            Ok(None) if buffer.is_complete() && buffer.last_event().is_some() => {
                return ReadOutcome::Complete(buffer.take_rest());
            }
            Ok(None) => return ReadOutcome::Interrupted(Failure::BadAnswer),
            Err(_) if remaining <= wait => return ReadOutcome::Interrupted(Failure::Timeout),
            Err(_) => {
                let silence = clock.now().saturating_duration_since(last_activity);
                if should_fail_over(context, &target_response.call, silence) {
                    return ReadOutcome::Interrupted(Failure::Silent);
                }
                silence_end = clock.now() + SILENCE_CHECK_INTERVAL;
                continue;
            }
        };
        let events = buffer.push(&frame_data(frame));
        if !events.is_empty() {
            return ReadOutcome::Events(events);
        }
    }
}

/// Resumes the stream at another target, after the last event that the caller has received. Returns
/// `None` if no target can resume it.
async fn resume(
    context: &RequestContext,
    target_response: TargetResponse,
    buffer: &mut EventBuffer,
    failure: Failure,
) -> Option<TargetResponse> {
    let TargetResponse { call, choice, mut work, connection, body, .. } = target_response;
    // Closing the connection cancels the request if the target is still running it.
    drop((connection, body));
    let target = call.target().clone();
    // Otherwise the result stays `Abandoned`, which does not count against the target.
    if !matches!(failure, Failure::Timeout | Failure::Quarantined) {
        work.set_result(AttemptResult::Failed);
    }
    let progress = work.progress();
    drop(work);
    record::attempt_failed(&context.head, &target, progress, failure.into(), context.elapsed());
    buffer.resume();
    let mut call = call.record_lost();
    // A stream without a length ends without an error when its target crashes.
    if matches!(failure, Failure::ConnectionLost | Failure::BadAnswer) {
        let parts = &context.head.shared_parts;
        context.gateway.report_loss(&choice, progress, parts);
        if matches!(progress, Progress::Begun | Progress::Started)
            && context.gateway.is_suspected(parts)
        {
            return None;
        }
    }
    loop {
        if !call.may_send(context.gateway.clock.now()) {
            return None;
        }
        match run_attempt(context, call, buffer.last_event()).await {
            Ok(next) if context.is_stream(&next.head) => return Some(next),
            Ok(_) => return None,
            Err(failed) if failed.failure == Failure::ConnectionLost => call = failed.call,
            Err(_) => return None,
        }
    }
}
