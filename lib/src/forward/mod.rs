//! A caller's request on its way to targets: what may still be done with it and what is true of
//! it.

mod answer;
mod call;
mod ending;
mod events;

pub use self::{
    answer::{AnswerHead, Verdict},
    call::{Call, Sent, Unsent},
    ending::{Ending, Failure},
    events::{EventBuffer, EventError},
};
