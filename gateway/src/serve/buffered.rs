//! Answers that are read whole before the caller gets them, so that one that breaks off can be
//! repeated or reported as a failure.

use super::{
    attempt::{Answering, Failed},
    body::{AnswerBody, whole},
    handle::Context,
    record::{self, Times},
};
use fulmarhead_lib::{forward::Failure, placement::AttemptResult};
use fulmarhead_platform::caller_response_headers;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use tokio::time::timeout;

/// Reads the body of an answer and returns the answer for the caller.
pub(super) async fn answer(
    context: &Context,
    answering: Answering,
) -> Result<Response<AnswerBody>, Failed> {
    let first = context.elapsed();
    let Answering { call, head, headers, body, mut work, connection } = answering;
    work.hear();
    let left = call.deadline().remaining(context.gateway.clock.now());
    let read = timeout(left, body.collect()).await;
    drop(connection);
    let (failure, reason) = match read {
        Ok(Ok(_)) if head.is_server_error() && call.may_retry(context.gateway.clock.now()) => {
            (Failure::BadAnswer, "target answered with an error")
        }
        Ok(Ok(body)) => {
            let failed = head.is_server_error();
            work.set_result(if failed { AttemptResult::Failed } else { AttemptResult::Answered });
            let target = call.target();
            let request = &context.head.request_id;
            let times = Times { first, total: context.elapsed(), ..Times::default() };
            record::answered(request, target, head.status, times);
            let mut response = Response::new(whole(body.to_bytes()));
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
    Err(Failed { call: call.record_lost(), failure })
}
