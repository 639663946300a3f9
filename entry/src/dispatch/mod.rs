//! Dispatch of admitted requests to targets, with retries.

mod active;
mod applications;
mod attempt;
mod completion;
mod events;
mod multi_engine;
mod prompt;
mod record;
mod rounds;
mod search;
mod sent;

pub(crate) use self::{
    applications::{ApplicationCall, call_application},
    completion::CompletionStream,
    prompt::{Prompt, PromptCall},
};
