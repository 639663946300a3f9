//! Answers that are streams of events, which go on at another target when one breaks off.

use super::{
    attempt::{Answering, SILENCE_CHECK, attempt, data, should_move},
    body::{AnswerBody, Broken, streamed},
    handle::Context,
    record::{self, Times},
};
use async_stream::stream;
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{EventBuffer, Failure},
    placement::AttemptResult,
};
use fulmarhead_platform::caller_response_headers;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use tokio::time::timeout;

/// Returns the answer whose body is the target's stream.
pub(super) fn answer(context: Context, answering: Answering) -> Response<AnswerBody> {
    let status = answering.head.status;
    let headers = caller_response_headers(&answering.headers);
    let mut response = Response::new(streamed(pieces(context, answering)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

/// How reading a target's stream ended.
enum Read {
    /// Whole events.
    Events(Vec<u8>),
    /// The stream is complete.
    End,
    /// The stream broke off.
    Broken(Failure),
}

/// Yields the events of the answer, from as many targets as it takes.
fn pieces(
    context: Context,
    answering: Answering,
) -> impl Stream<Item = Result<Bytes, Broken>> + Send + 'static {
    stream! {
        let mut buffer = EventBuffer::resume_after(context.head.last_event);
        let mut answering = answering;
        let mut times = Times::default();
        let mut begun = false;
        let mut last = context.elapsed();
        loop {
            let failure = loop {
                match read(&context, &mut answering, &mut buffer).await {
                    Read::Events(events) => {
                        let now = context.elapsed();
                        match begun {
                            true => times.pause = times.pause.max(now.saturating_sub(last)),
                            false => times.first = now,
                        }
                        (begun, last) = (true, now);
                        answering.work.hear();
                        yield Ok(Bytes::from(events));
                    }
                    Read::End => {
                        answering.work.set_result(AttemptResult::Answered);
                        let (request, target) = (&context.head.request_id, answering.call.target());
                        times.total = context.elapsed();
                        record::answered(request, target, answering.head.status, times);
                        return;
                    }
                    Read::Broken(failure) => break failure,
                }
            };
            match resume(&context, answering, &mut buffer, failure).await {
                Some(next) => answering = next,
                None => {
                    let (request, last) = (&context.head.request_id, buffer.last_event());
                    record::broken(request, failure.into(), last, context.elapsed());
                    yield Err(match failure {
                        Failure::Timeout => Broken::Timeout,
                        _ => Broken::Target,
                    });
                    return;
                }
            }
        }
    }
}

/// Reads until there are whole events or the stream ends.
///
/// Silence ends the stream early only if it can go on at another target.
async fn read(context: &Context, answering: &mut Answering, buffer: &mut EventBuffer) -> Read {
    let clock = &context.gateway.clock;
    let since = clock.now();
    let mut wait = context.patience();
    loop {
        let left = answering.call.deadline().remaining(clock.now());
        let frame = match timeout(left.min(wait), answering.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Read::Broken(Failure::ConnectionLost),
            Ok(None) if buffer.is_complete() => return Read::End,
            Ok(None) => return Read::Broken(Failure::BadAnswer),
            Err(_) if left <= wait => return Read::Broken(Failure::Timeout),
            Err(_) => {
                let silence = clock.now().saturating_duration_since(since);
                if should_move(context, &answering.call, silence) {
                    return Read::Broken(Failure::Silent);
                }
                wait = SILENCE_CHECK;
                continue;
            }
        };
        match buffer.push(&data(frame)) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => return Read::Events(events),
            Err(_) => return Read::Broken(Failure::BadAnswer),
        }
    }
}

/// Goes on with the stream at another target, after the last event that the caller has.
async fn resume(
    context: &Context,
    answering: Answering,
    buffer: &mut EventBuffer,
    failure: Failure,
) -> Option<Answering> {
    let Answering { call, mut work, connection, body, .. } = answering;
    // Closing the connection cancels what the target may still be doing.
    drop((connection, body));
    let target = call.target().clone();
    if failure != Failure::Timeout {
        work.set_result(AttemptResult::Failed);
    }
    drop(work);
    record::attempt_failed(&context.head.request_id, &target, failure.into(), context.elapsed());
    buffer.discard_partial();
    let mut call = call.record_lost();
    loop {
        if !call.may_send(context.gateway.clock.now()) {
            return None;
        }
        match attempt(context, call, buffer.last_event()).await {
            Ok(next) if next.head.event_stream && next.head.is_success() => return Some(next),
            Ok(_) => return None,
            Err(failed) if failed.failure == Failure::ConnectionLost => call = failed.call,
            Err(_) => return None,
        }
    }
}
