//! Forwarding of a caller's request to targets: when it may be retried and whether it may have run.

mod answer;
mod blocks;
mod call;
mod events;
mod failure;
mod progress;
mod stop;

pub use self::{
    answer::{RequestMatch, ResponseHead, Verdict},
    blocks::MAX_EVENT_BYTES,
    call::{Call, Sent, Unsent},
    events::{EventError, EventRun, Pushed, Silent, StreamPosition, Writing},
    failure::{Failure, FailureOutcome},
    progress::Progress,
    stop::StopSchedule,
};
