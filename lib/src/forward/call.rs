//! Life cycle of a forwarded request as a typestate.
//!
//! A call is unsent, then sent to a target, and unsent again once that attempt has ended without an
//! answer. Only an unsent call can be sent.

use super::{Failure, FailureOutcome};
use crate::{ids::TargetId, request::Deadline, routes::RetryPolicy};
use std::time::Instant;

/// Number of helper failures after which a call is still sent again. A long prompt has up to 16
/// helpers, so that after the loss of many targets several sends in a row find one of them. The
/// retry budget counts each.
const MAX_HELPER_FAILURES: u32 = 6;

/// State of a call that no target is working on.
#[derive(Debug)]
pub struct Unsent;

/// State of a call that was sent to a target, which may be running it.
#[derive(Debug)]
pub struct Sent {
    target: TargetId,
}

/// A caller's request that `fulmarhead-gateway` forwards to targets. Requests at `fulmarhead-entry`
/// are of the type [`request::Request`](crate::request::Request).
#[derive(Debug)]
pub struct Call<S> {
    retry_policy: RetryPolicy,
    deadline: Deadline,
    max_attempts: u32,
    /// Targets that are not selected again.
    tried: Vec<TargetId>,
    /// Number of times that the call was sent, without those that ended because a helper failed.
    attempts: u32,
    /// Number of times that the call was sent and not run because a helper failed.
    helper_failures: u32,
    may_have_run: bool,
    state: S,
}

impl Call<Unsent> {
    /// Returns a call that may be sent at most `max_attempts` times until `deadline`, besides sends
    /// that end because a helper fails.
    pub fn new(retry_policy: RetryPolicy, deadline: Deadline, max_attempts: u32) -> Self {
        Self {
            retry_policy,
            deadline,
            max_attempts,
            tried: Vec::new(),
            attempts: 0,
            helper_failures: 0,
            may_have_run: false,
            state: Unsent,
        }
    }

    /// Returns whether the call was already sent to a target.
    pub fn is_retry(&self) -> bool {
        self.attempts + self.helper_failures > 0
    }

    /// Returns whether the call may be sent to a target at `now`.
    ///
    /// A call that may have run is sent again only if its retry policy allows that.
    pub fn may_send(&self, now: Instant) -> bool {
        let allowed = self.retry_policy.allows_retry() || !self.may_have_run;
        allowed
            && self.attempts < self.max_attempts
            && self.helper_failures <= MAX_HELPER_FAILURES
            && !self.deadline.has_passed(now)
    }

    /// Returns whether a target may have run the call.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records that the call is about to be sent to `target`.
    pub fn send(mut self, target: TargetId) -> Call<Sent> {
        self.tried.push(target.clone());
        self.attempts += 1;
        self.with_state(Sent { target })
    }

    /// Ends the call without an answer; the outcome says whether it may have run.
    pub fn end(self, failure: Failure) -> FailureOutcome {
        match self.may_have_run {
            true => FailureOutcome::Unknown(failure),
            false => FailureOutcome::NotRun(failure),
        }
    }
}

impl Call<Sent> {
    /// Returns the target that the call was sent to.
    pub fn target(&self) -> &TargetId {
        &self.state.target
    }

    /// Returns whether this is the last allowed attempt.
    pub fn is_last(&self) -> bool {
        self.attempts >= self.max_attempts
    }

    /// Returns whether the call may be sent to another target at `now`, given that it may have run.
    pub fn may_retry(&self, now: Instant) -> bool {
        self.retry_policy.allows_retry() && !self.is_last() && !self.deadline.has_passed(now)
    }

    /// Records that the target reported that it did not and will not run the call.
    pub fn record_rejected(self) -> Call<Unsent> {
        self.with_state(Unsent)
    }

    /// Records that the target did not and will not run the call because a helper failed. This is
    /// no attempt, and the call may be sent to the same target again, with other helpers.
    pub fn record_helper_failed(mut self) -> Call<Unsent> {
        self.tried.pop();
        self.attempts -= 1;
        self.helper_failures += 1;
        self.with_state(Unsent)
    }

    /// Records that no part of the call was sent, so that it does not count as an attempt.
    pub fn record_not_sent(mut self) -> Call<Unsent> {
        self.tried.pop();
        self.attempts -= 1;
        self.with_state(Unsent)
    }

    /// Records that the target may have run the call but its answer was lost.
    pub fn record_lost(mut self) -> Call<Unsent> {
        self.may_have_run = true;
        self.with_state(Unsent)
    }
}

impl<S> Call<S> {
    /// Returns the number of times that the call was not run because a helper failed.
    pub fn helper_failures(&self) -> u32 {
        self.helper_failures
    }

    /// Returns the targets that the call must not be sent to again, oldest first.
    pub fn tried(&self) -> &[TargetId] {
        &self.tried
    }

    /// Returns the time after which the call is not sent again.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// Returns the policy for a call that may have run.
    pub fn retry_policy(&self) -> RetryPolicy {
        self.retry_policy
    }

    fn with_state<T>(self, state: T) -> Call<T> {
        Call {
            retry_policy: self.retry_policy,
            deadline: self.deadline,
            max_attempts: self.max_attempts,
            tried: self.tried,
            attempts: self.attempts,
            helper_failures: self.helper_failures,
            may_have_run: self.may_have_run,
            state,
        }
    }
}
