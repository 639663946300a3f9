//! The permit of an attempt, and the response body that holds it while it streams from the engine
//! to the entry.

use crate::agent::{Agent, Cleanup};
use axum::body::Body;
use bytes::Bytes;
use fulmarhead_lib::{
    config::TargetKind,
    ids::{AttemptNumber, RequestId},
    request::Deadline,
};
use fulmarhead_runtime::work::WorkHeaders;
use futures::{Stream, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::timeout_at;

/// Time that a stream is kept for its reader to reconnect, perhaps through another entry.
const KEEP_STREAM_TIME: Duration = Duration::from_secs(5);

/// Permission to run one attempt at the target; the attempt ends when the permit is dropped.
pub(crate) struct Permit {
    agent: Arc<Agent>,
    request: RequestId,
    attempt: AttemptNumber,
    admitted_at: Instant,
    /// Whether the stream is kept for a while after its reader disconnected.
    keep_stream: bool,
    end: AttemptEnd,
}

/// How an attempt ended. The names of the variants appear in the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// The attempt ended in another way, such as by a reader that disconnected, the deadline, or a
    /// refusal of the engine other than status 503.
    Abandoned,
    /// The target responded completely.
    Finished,
    /// The target failed, or the engine refused the attempt with status 503.
    Failed,
}

impl Permit {
    /// Creates the permit of an attempt that was just admitted.
    pub(crate) fn new(agent: Arc<Agent>, work: &WorkHeaders) -> Self {
        let admitted_at = agent.clock.now();
        let (request, attempt) = (work.request, work.attempt);
        Self {
            agent,
            request,
            attempt,
            admitted_at,
            keep_stream: work.keep_stream,
            end: AttemptEnd::Abandoned,
        }
    }

    /// Records that the target responded completely.
    pub(crate) fn record_finished(&mut self) {
        self.end = AttemptEnd::Finished;
    }

    /// Records that the target failed, so that the drop resets the concurrency limit.
    pub(crate) fn record_failed(&mut self) {
        self.end = AttemptEnd::Failed;
    }

    fn record_first_token(&self) {
        self.agent.state().admission.record_first_token(self.request, self.attempt);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.agent.clock.now();
        let mut state = self.agent.state();
        state.admission.end_attempt(
            self.request,
            self.attempt,
            self.end == AttemptEnd::Finished,
            now,
        );
        if self.end == AttemptEnd::Failed {
            state.admission.reset_cap(now);
        }
        let abandoned = self.end == AttemptEnd::Abandoned;
        if abandoned && self.keep_stream {
            state.kept_streams.insert(self.request, now + KEEP_STREAM_TIME);
        }
        drop(state);
        let is_engine = self.agent.settings.kind == TargetKind::Engine;
        if abandoned && !self.keep_stream && is_engine {
            self.agent.queue_cleanup(Cleanup::Stream(self.request));
        }
        let (request, attempt) = (self.request, self.attempt);
        let duration_ms = now.saturating_duration_since(self.admitted_at).as_millis() as u64;
        info!(
            target: "decision", request:%, attempt, took_ms = duration_ms, end:? = self.end;
            "attempt ended"
        );
    }
}

/// Returns a body that streams `engine_body` until its end, the deadline, the loss of the target or
/// the end of the process.
pub(crate) fn forward(engine_body: Incoming, permit: Permit, deadline: Deadline) -> Body {
    Body::from_stream(data_frames(engine_body, permit, deadline))
}

fn data_frames(
    engine_body: Incoming,
    permit: Permit,
    deadline: Deadline,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold(Some((engine_body, permit)), move |state| async move {
        let (mut engine_body, mut permit) = state?;
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline.instant().into(), engine_body.frame()) => frame,
                () = permit.agent.wait_target_lost() => {
                    permit.record_failed();
                    return Some((Err(io::ErrorKind::ConnectionReset.into()), None));
                }
                () = permit.agent.end_work.cancelled() => {
                    return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
                }
            };
            return match frame {
                Err(_) => Some((Err(io::ErrorKind::TimedOut.into()), None)),
                Ok(None) => {
                    permit.record_finished();
                    None
                }
                Ok(Some(Err(error))) => {
                    permit.record_failed();
                    Some((Err(io::Error::other(error)), None))
                }
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        // Only the first call has an effect.
                        permit.record_first_token();
                        Some((Ok(data), Some((engine_body, permit))))
                    }
                    Err(_) => continue,
                },
            };
        }
    })
}
