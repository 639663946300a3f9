//! Forwarding of a caller's request to targets: when it may be retried and whether it may have run.

mod answer;
mod call;
mod ending;
mod events;

pub use self::{
    answer::{ResponseHead, Verdict},
    call::{Call, Sent, Unsent},
    ending::{Failure, FailureOutcome},
    events::{EventBuffer, EventError},
};
