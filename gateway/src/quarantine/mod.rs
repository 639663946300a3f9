//! Quarantine of prompt parts that crash targets: reports of lost requests, their confirmation, and
//! the refusal of requests.

mod decisions;
mod task;

pub(crate) use self::{
    decisions::{contents_text, parts_text},
    task::{LossReceiver, LossSender, confirm_crashes},
};
