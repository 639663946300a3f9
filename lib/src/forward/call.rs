//! Life cycle of a forwarded request: unsent, sent, and unsent again once a target has said that
//! it did not run it.

use super::{Ending, Failure};
use crate::{ids::TargetId, request::Deadline, routes::Repeat};
use std::time::Instant;

/// Life cycle of a call: no target has it.
#[derive(Debug)]
pub struct Unsent;

/// Life cycle of a call: a target has it and may be running it.
#[derive(Debug)]
pub struct Sent {
    target: TargetId,
}

/// A caller's request at the entry that took it.
#[derive(Debug)]
pub struct Call<S> {
    repeat: Repeat,
    deadline: Deadline,
    attempts: u32,
    tried: Vec<TargetId>,
    may_have_run: bool,
    state: S,
}

impl Call<Unsent> {
    /// Returns a call that may be sent to `attempts` targets until `deadline`.
    pub fn new(repeat: Repeat, deadline: Deadline, attempts: u32) -> Self {
        let tried = Vec::new();
        Self { repeat, deadline, attempts, tried, may_have_run: false, state: Unsent }
    }

    /// Returns whether the call was sent before.
    pub fn is_repeat(&self) -> bool {
        !self.tried.is_empty()
    }

    /// Returns whether the call may be sent to another target at `now`.
    pub fn may_send(&self, now: Instant) -> bool {
        let allowed = self.repeat.allowed() || !self.may_have_run;
        allowed && self.tried.len() < self.attempts as usize && !self.deadline.has_passed(now)
    }

    /// Records that the call is about to be sent to `target`.
    pub fn send(mut self, target: TargetId) -> Call<Sent> {
        self.tried.push(target.clone());
        self.with(Sent { target })
    }

    /// Ends the call without an answer.
    pub fn end(self, failure: Failure) -> Ending {
        match self.may_have_run {
            true => Ending::Unknown(failure),
            false => Ending::NotRun(failure),
        }
    }
}

impl Call<Sent> {
    /// Returns the target that has the call.
    pub fn target(&self) -> &TargetId {
        &self.state.target
    }

    /// Returns whether no other target may get the call after this one.
    pub fn is_last(&self) -> bool {
        self.tried.len() >= self.attempts as usize
    }

    /// Returns whether the call may be sent to another target at `now`, though it may have run.
    pub fn may_repeat(&self, now: Instant) -> bool {
        self.repeat.allowed() && !self.is_last() && !self.deadline.has_passed(now)
    }

    /// Records that the target has said that it did not run the call and will not.
    pub fn rejected(self) -> Call<Unsent> {
        self.with(Unsent)
    }

    /// Records that nothing of the call has left this process.
    pub fn not_sent(mut self) -> Call<Unsent> {
        self.tried.pop();
        self.with(Unsent)
    }

    /// Records that the target may have run the call and that its answer is lost.
    pub fn lost(mut self) -> Call<Unsent> {
        self.may_have_run = true;
        self.with(Unsent)
    }
}

impl<S> Call<S> {
    /// Returns the targets that the call was sent to.
    pub fn tried(&self) -> &[TargetId] {
        &self.tried
    }

    /// Returns the end of the call's time limit.
    pub fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// Returns whether the call may run more than once.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    fn with<T>(self, state: T) -> Call<T> {
        let Self { repeat, deadline, attempts, tried, may_have_run, state: _ } = self;
        Call { repeat, deadline, attempts, tried, may_have_run, state }
    }
}
