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
    forward::{EventError, EventRun, Failure, Progress, Pushed, Silent, StreamPosition, Writing},
    placement::AttemptResult,
    quarantine::{AnswerStage, FeatureSet},
};
use fulmarhead_platform::caller_response_headers;
use fulmarhead_runtime::http::EventMemory;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use std::time::{Duration, Instant};
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

/// Features of a request that goes on even if one of its features is quarantined.
static NO_FEATURES: FeatureSet = FeatureSet::new();

/// What a run of a target has written first.
enum FirstRead {
    /// Complete events, encoded for the caller, of a run that goes on.
    Events(EventRun<Writing>, Vec<u8>),
    /// Nothing more, so that the stream is complete. Holds what followed the last event.
    Complete(Vec<u8>),
}

/// What a run of a target that has written events has written next.
enum NextRead {
    /// Complete events, encoded for the caller.
    Events(Vec<u8>),
    /// The end of the response.
    End,
}

/// Yields the events of the response, which may come from several targets in turn.
fn event_chunks(
    context: RequestContext,
    target_response: TargetResponse,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static {
    stream! {
        let mut position = StreamPosition::after(context.head.last_event);
        let mut target_response = target_response;
        let mut times = StreamTimes::default();
        // Each turn is the run of one target.
        loop {
            let failure = 'run: {
                let run = EventRun::begin(position);
                let mut run = match read_first(&context, &mut target_response, run).await {
                    Ok(FirstRead::Events(run, events)) => {
                        record_events(&context, &mut target_response, &mut times);
                        yield Ok(Bytes::from(events));
                        run
                    }
                    Ok(FirstRead::Complete(rest)) => {
                        yield Ok(Bytes::from(rest));
                        record_complete(&context, &mut target_response, times);
                        return;
                    }
                    Err(failure) => break 'run failure,
                };
                loop {
                    position = run.position();
                    match read_next(&context, &mut target_response, &mut run).await {
                        Ok(NextRead::Events(events)) => {
                            record_events(&context, &mut target_response, &mut times);
                            yield Ok(Bytes::from(events));
                        }
                        Ok(NextRead::End) => break,
                        Err(failure) => break 'run failure,
                    }
                }
                match run.end() {
                    Some(rest) => {
                        yield Ok(Bytes::from(rest));
                        record_complete(&context, &mut target_response, times);
                        return;
                    }
                    None => Failure::BadAnswer,
                }
            };
            match resume(&context, target_response, position, failure).await {
                Some(next) => target_response = next,
                None => {
                    let (request, last_event) = (&context.head.request_id, position.last_event());
                    record::response_interrupted(
                        request,
                        failure.into(),
                        last_event,
                        context.elapsed(),
                    );
                    yield Err(match failure {
                        Failure::Timeout => BodyError::Timeout,
                        Failure::Stopping => BodyError::Stopping,
                        _ => BodyError::TargetInterrupted,
                    });
                    return;
                }
            }
        }
    }
}

/// Times of the chunks that were passed on, since the request was received.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTimes {
    response: ResponseTimes,
    last_chunk: Option<Duration>,
}

fn record_events(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    times: &mut StreamTimes,
) {
    let now = context.elapsed();
    match times.last_chunk {
        Some(last) => {
            let pause = now.saturating_sub(last);
            times.response.max_pause = times.response.max_pause.max(pause);
        }
        None => times.response.first_byte = now,
    }
    times.last_chunk = Some(now);
    if let Some(stage) = target_response.work.record_events() {
        context.gateway.record_stage(stage, &context.features);
    }
}

fn record_complete(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    times: StreamTimes,
) {
    target_response.work.set_result(AttemptResult::Answered);
    if let Some(stage) = target_response.work.record_stage(AnswerStage::Sustained) {
        context.gateway.record_stage(stage, &context.features);
    }
    let (request, target) = (&context.head.request_id, target_response.call.target());
    let times = ResponseTimes { total: context.elapsed(), ..times.response };
    record::request_answered(request, target, target_response.head.status, times);
}

/// Reads until the first events of a run are complete, or the stream ends without any.
///
/// # Errors
///
/// Returns an error if the response can't be read, its first bytes are no event in order, or it
/// ends although the stream may not be complete.
async fn read_first(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    mut run: EventRun<Silent>,
) -> Result<FirstRead, Failure> {
    let begun_at = context.gateway.clock.now();
    let mut memory = EventMemory::new(&context.gateway.bodies);
    loop {
        let Some(bytes) = read_bytes(context, target_response, begun_at).await? else {
            let rest = run.end(target_response.head.delimited);
            return rest.map(FirstRead::Complete).ok_or(Failure::BadAnswer);
        };
        run = match run.push(&bytes) {
            Ok(Pushed::Silent(run)) => run,
            Ok(Pushed::Writing(run, events)) => return Ok(FirstRead::Events(run, events)),
            Err(error) => return Err(reject(context, target_response, error)),
        };
        if memory.hold(run.held_bytes()).is_err() {
            return Err(reject(context, target_response, EventError::NoMemory));
        }
    }
}

/// Reads until at least one more event of a run is complete, or the response ends.
///
/// # Errors
///
/// Returns an error if the response can't be read, or the next bytes are no event in order.
async fn read_next(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    run: &mut EventRun<Writing>,
) -> Result<NextRead, Failure> {
    let begun_at = target_response.work.begin_wait();
    let mut memory = EventMemory::new(&context.gateway.bodies);
    loop {
        // The events before the error have been passed on.
        if let Some(error) = run.error() {
            return Err(reject(context, target_response, error));
        }
        let Some(bytes) = read_bytes(context, target_response, begun_at).await? else {
            return Ok(NextRead::End);
        };
        let events = run.push(&bytes);
        if !events.is_empty() {
            return Ok(NextRead::Events(events));
        }
        if memory.hold(run.held_bytes()).is_err() {
            return Err(reject(context, target_response, EventError::NoMemory));
        }
    }
}

fn reject(
    context: &RequestContext,
    target_response: &TargetResponse,
    error: EventError,
) -> Failure {
    record::stream_rejected(&context.head, target_response.call.target(), error);
    Failure::BadAnswer
}

/// Waits for the next bytes of the response and returns them, or `None` at its end. `last_event` is
/// the time of the last event, since bytes that complete no event do not end the silence.
///
/// # Errors
///
/// Returns an error if the connection failed, the deadline passed, a part of the prompt was
/// quarantined, or this entry is about to end. Silence is an error only if the stream can be
/// resumed at another target.
async fn read_bytes(
    context: &RequestContext,
    target_response: &mut TargetResponse,
    last_event: Instant,
) -> Result<Option<Bytes>, Failure> {
    let clock = &context.gateway.clock;
    // A request whose answer goes on for some time does not crash its target.
    let unanswered = match target_response.work.progress() {
        Progress::Streaming => &NO_FEATURES,
        Progress::Waiting | Progress::Begun | Progress::Started => &context.features,
    };
    let mut silence_end = last_event + context.silence_timeout();
    loop {
        let remaining = target_response.call.deadline().remaining(clock.now());
        // A timeout does not end a stream of which more bytes are always there.
        if remaining.is_zero() {
            return Err(Failure::Timeout);
        }
        let wait = silence_end.saturating_duration_since(clock.now());
        let frame = timeout(remaining.min(wait), target_response.body.frame());
        let frame = tokio::select! {
            biased;
            frame = frame => frame,
            () = context.gateway.wait_quarantined(unanswered) => {
                return Err(Failure::Quarantined);
            }
            () = context.gateway.end_requests.cancelled() => return Err(Failure::Stopping),
        };
        match frame {
            Ok(Some(Ok(frame))) => return Ok(Some(frame_data(frame))),
            Ok(Some(Err(_))) => return Err(Failure::ConnectionLost),
            Ok(None) => return Ok(None),
            Err(_) if remaining <= wait => return Err(Failure::Timeout),
            Err(_) => {
                let silence = clock.now().saturating_duration_since(last_event);
                if should_fail_over(context, &target_response.call, silence) {
                    return Err(Failure::Silent);
                }
                silence_end = clock.now() + SILENCE_CHECK_INTERVAL;
            }
        }
    }
}

/// Resumes the stream at another target, after the last event that the caller has received. Returns
/// `None` if no target can resume it.
async fn resume(
    context: &RequestContext,
    target_response: TargetResponse,
    position: StreamPosition,
    failure: Failure,
) -> Option<TargetResponse> {
    let TargetResponse { call, choice, mut work, connection, body, .. } = target_response;
    // Closing the connection cancels the request if the target is still running it.
    drop((connection, body));
    let target = call.target().clone();
    // Otherwise the result stays `Abandoned`, which does not count against the target.
    if !matches!(failure, Failure::Timeout | Failure::Quarantined | Failure::Stopping) {
        work.set_result(AttemptResult::Failed);
    }
    let progress = work.progress();
    drop(work);
    record::attempt_failed(context, &target, progress, failure.into(), context.elapsed());
    let mut call = call.record_lost();
    if failure == Failure::Stopping {
        return None;
    }
    // A stream without a length ends without an error when its target crashes.
    if matches!(failure, Failure::ConnectionLost | Failure::BadAnswer) {
        let features = &context.features;
        context.gateway.report_loss(&choice, progress, features);
        if matches!(progress, Progress::Begun | Progress::Started)
            && context.gateway.is_suspected(features)
        {
            return None;
        }
    }
    loop {
        if !call.may_send(context.gateway.clock.now()) {
            return None;
        }
        match run_attempt(context, call, position.last_event()).await {
            Ok(next) if context.is_stream(&next.head) => return Some(next),
            Ok(_) => return None,
            Err(failed) if failed.failure == Failure::ConnectionLost => call = failed.call,
            Err(_) => return None,
        }
    }
}
