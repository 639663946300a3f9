//! Answers of the engine on their way to the entry, with the permit of their attempt.

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

/// How long a stream waits for its reader to come back, perhaps through another entry.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// Room for one attempt at the target, given back when it is dropped.
pub(crate) struct Permit {
    agent: Arc<Agent>,
    request: RequestId,
    attempt: AttemptNumber,
    admitted: Instant,
    hold: bool,
    end: End,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The reader went away.
    Abandoned,
    /// The target answered.
    Finished,
    /// The target failed.
    Failed,
}

impl Permit {
    /// Returns the permit of an attempt that was just admitted.
    pub(crate) fn new(agent: Arc<Agent>, work: &WorkHeaders) -> Self {
        let admitted = agent.clock.now();
        let (request, attempt) = (work.request, work.attempt);
        Self { agent, request, attempt, admitted, hold: work.keep_stream, end: End::Abandoned }
    }

    /// Records that the target answered.
    pub(crate) fn finish(&mut self) {
        self.end = End::Finished;
    }

    /// Records that the target failed.
    pub(crate) fn fail(&mut self) {
        self.end = End::Failed;
    }

    fn first_token(&self) {
        self.agent.core().admission.record_first_token(self.request, self.attempt);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.agent.clock.now();
        let mut core = self.agent.core();
        core.admission.end_attempt(self.request, self.attempt, self.end == End::Finished, now);
        if self.end == End::Failed {
            core.admission.reset_cap(now);
        }
        let abandoned = self.end == End::Abandoned;
        if abandoned && self.hold {
            core.kept_streams.insert(self.request, now + HOLD_TIME);
        }
        drop(core);
        let engine = self.agent.settings.kind == TargetKind::Engine;
        if abandoned && !self.hold && engine {
            self.agent.queue_cleanup(Cleanup::Stream(self.request));
        }
        let (request, attempt) = (self.request, self.attempt);
        let took = now.saturating_duration_since(self.admitted).as_millis() as u64;
        info!(target: "decision", request:%, attempt, took_ms = took, end:? = self.end; "attempt ended");
    }
}

/// Returns the body that passes `answer` on until its end or the deadline.
pub(crate) fn forward(answer: Incoming, permit: Permit, deadline: Deadline) -> Body {
    Body::from_stream(frames(answer, permit, deadline))
}

fn frames(
    answer: Incoming,
    permit: Permit,
    deadline: Deadline,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold(Some((answer, permit)), move |state| async move {
        let (mut answer, mut permit) = state?;
        loop {
            let frame = tokio::select! {
                frame = timeout_at(deadline.instant().into(), answer.frame()) => frame,
                () = permit.agent.wait_target_lost() => {
                    permit.fail();
                    return Some((Err(io::ErrorKind::ConnectionReset.into()), None));
                }
            };
            return match frame {
                Err(_) => Some((Err(io::ErrorKind::TimedOut.into()), None)),
                Ok(None) => {
                    permit.finish();
                    None
                }
                Ok(Some(Err(error))) => {
                    permit.fail();
                    Some((Err(io::Error::other(error)), None))
                }
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        permit.first_token();
                        Some((Ok(data), Some((answer, permit))))
                    }
                    Err(_) => continue,
                },
            };
        }
    })
}
