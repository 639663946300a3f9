//! Responses that are read completely before the caller receives them, so that an interrupted one
//! can be retried or reported as a failure.

use super::{
    attempt::{FailedAttempt, TargetResponse},
    body::{ResponseBody, full_body},
    handle::RequestContext,
    record::{self, ResponseTimes},
};
use fulmarhead_lib::{forward::Failure, placement::AttemptResult};
use fulmarhead_platform::caller_response_headers;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use tokio::time::timeout;

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
    let TargetResponse { call, head, headers, body, mut work, connection } = target_response;
    work.record_activity();
    let remaining = call.deadline().remaining(context.gateway.clock.now());
    let result = timeout(remaining, body.collect()).await;
    drop(connection);
    let (failure, reason) = match result {
        Ok(Ok(_)) if head.is_server_error() && call.may_retry(context.gateway.clock.now()) => {
            (Failure::BadAnswer, "target answered with an error")
        }
        Ok(Ok(body)) => {
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
            let mut response = Response::new(full_body(body.to_bytes()));
            *response.status_mut() =
                StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = caller_response_headers(&headers);
            return Ok(response);
        }
        Ok(Err(_)) => (Failure::BadAnswer, "answer broke off"),
        Err(_) => (Failure::Timeout, "answer took too long"),
    };
    work.set_result(AttemptResult::Failed);
    record::attempt_failed(&context.head.request_id, call.target(), reason, context.elapsed());
    Err(FailedAttempt { call: call.record_lost(), failure })
}
