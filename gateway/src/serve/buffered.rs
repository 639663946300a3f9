//! Responses that are read completely before the caller receives them, so that an interrupted one
//! can be retried or reported as a failure.

use super::{
    attempt::{
        FailedAttempt, SILENCE_CHECK_INTERVAL, TargetResponse, frame_data, should_fail_over,
    },
    body::{ResponseBody, full_body},
    handle::RequestContext,
    record::{self, ResponseTimes},
};
use bytes::Bytes;
use fulmarhead_lib::{
    forward::{Call, Failure, Sent},
    placement::AttemptResult,
    quarantine::AnswerStage,
};
use fulmarhead_platform::caller_response_headers;
use fulmarhead_runtime::http::{BodyBuffer, BodyReadError as BufferError};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming};
use std::time::Instant;
use tokio::time::timeout;

/// Maximum size of a body, in bytes. A larger one would take a good part of the memory of a small
/// entry.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Bytes of a body that must arrive within the silence timeout, or else the target counts as
/// stalled, even if single bytes arrive.
const MIN_PROGRESS_BYTES: usize = 1 << 10;

/// Reads the body of a response and returns the response for the caller.
///
/// # Errors
///
/// Returns the call, which no target works on any more, if the body is incomplete or late, or if
/// the response is a server error and the call may be retried.
pub(super) async fn buffer_response(
    context: &RequestContext,
    target_response: TargetResponse,
) -> Result<Response<ResponseBody>, FailedAttempt> {
    let first_byte = context.elapsed();
    let TargetResponse { call, choice, head, headers, body, mut work, connection } =
        target_response;
    work.record_activity();
    let features = &context.features;
    let result = tokio::select! {
        biased;
        result = read_body(context, &call, body) => result,
        () = context.gateway.end_requests.cancelled() => Err(BodyReadError::Stopping),
    };
    drop(connection);
    match result {
        Ok(_) if head.is_success() => {
            context.gateway.record_stage(AnswerStage::Sustained, features)
        }
        Err(BodyReadError::Lost) => context.gateway.report_loss(&choice, work.progress(), features),
        _ => {}
    }
    let (failure, reason) = match result {
        Ok(_) if head.is_server_error() && call.may_retry(context.gateway.clock.now()) => {
            (Failure::BadAnswer, "target answered with an error".to_owned())
        }
        Ok(body) => {
            let server_error = head.is_server_error();
            work.set_result(if server_error {
                AttemptResult::Failed
            } else {
                AttemptResult::Answered
            });
            let target = call.target();
            let request = &context.head.request_id;
            let times =
                ResponseTimes { first_byte, total: context.elapsed(), ..ResponseTimes::default() };
            record::request_answered(request, target, head.status, times);
            let mut response = Response::new(full_body(body));
            *response.status_mut() =
                StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = caller_response_headers(&headers);
            return Ok(response);
        }
        Err(error) => (error.into(), error.to_string()),
    };
    if failure != Failure::Stopping {
        work.set_result(AttemptResult::Failed);
    }
    let (target, progress) = (call.target(), work.progress());
    record::attempt_failed(context, target, progress, &reason, context.elapsed());
    Err(FailedAttempt { call: call.record_lost(), failure, retry_after: None })
}

/// The reason why the body of a response was not read completely.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum BodyReadError {
    /// The connection failed.
    #[error("answer broke off")]
    Lost,
    /// The body is larger than `MAX_BODY_BYTES`, or never ends.
    #[error("answer is too large")]
    TooLarge,
    /// The body could not go on, and others needed its memory.
    #[error("there is no memory for the answer")]
    NoMemory,
    /// Less than `MIN_PROGRESS_BYTES` arrived within the silence timeout, and the request can be
    /// retried at another target.
    #[error("answer stalled")]
    Stalled,
    /// The deadline passed.
    #[error("answer took too long")]
    Timeout,
    /// The process is about to end.
    #[error("the entry is stopping")]
    Stopping,
}

impl From<BufferError> for BodyReadError {
    fn from(error: BufferError) -> Self {
        match error {
            BufferError::TooLarge => Self::TooLarge,
            BufferError::NoMemory | BufferError::Stalled => Self::NoMemory,
            // The others concern request bodies.
            BufferError::Timeout | BufferError::Broken => Self::Lost,
        }
    }
}

impl From<BodyReadError> for Failure {
    fn from(error: BodyReadError) -> Self {
        match error {
            BodyReadError::Lost | BodyReadError::TooLarge | BodyReadError::NoMemory => {
                Self::BadAnswer
            }
            BodyReadError::Stalled => Self::Silent,
            BodyReadError::Timeout => Self::Timeout,
            BodyReadError::Stopping => Self::Stopping,
        }
    }
}

/// Reads the body of a response.
async fn read_body(
    context: &RequestContext,
    call: &Call<Sent>,
    mut body: Incoming,
) -> Result<Bytes, BodyReadError> {
    let clock = &context.gateway.clock;
    let mut received = BodyBuffer::for_response(&context.gateway.bodies, MAX_BODY_BYTES);
    let token = received.token().clone();
    let mut period = Period { begun_at: clock.now(), received: 0 };
    loop {
        let now = clock.now();
        let remaining = call.deadline().remaining(now);
        // A timeout does not end a body of which more bytes are always there.
        if remaining.is_zero() {
            return Err(BodyReadError::Timeout);
        }
        let period_end = period.begun_at + context.silence_timeout();
        let wait = period_end.saturating_duration_since(now).max(SILENCE_CHECK_INTERVAL);
        let frame = tokio::select! {
            biased;
            () = token.cancelled() => return Err(BodyReadError::NoMemory),
            frame = timeout(remaining.min(wait), body.frame()) => frame,
        };
        match frame {
            Ok(Some(Ok(frame))) => {
                // A response that has to wait for memory is not read on, so that its target waits.
                let data = frame_data(frame);
                let push = timeout(remaining, received.push(&data)).await;
                push.map_err(|_| BodyReadError::Timeout)??;
            }
            Ok(Some(Err(_))) => return Err(BodyReadError::Lost),
            Ok(None) => return Ok(received.finish().into_bytes()),
            Err(_) if remaining <= wait => return Err(BodyReadError::Timeout),
            Err(_) => {}
        }
        let silence = clock.now().saturating_duration_since(period.begun_at);
        if received.len() - period.received >= MIN_PROGRESS_BYTES {
            period = Period { begun_at: clock.now(), received: received.len() };
        } else if silence >= context.silence_timeout() && should_fail_over(context, call, silence) {
            return Err(BodyReadError::Stalled);
        }
    }
}

/// Time in which `MIN_PROGRESS_BYTES` of a body must arrive.
struct Period {
    begun_at: Instant,
    /// Size of the body at the beginning, in bytes.
    received: usize,
}
