//! Attempts of admitted requests at targets.

mod answer;
mod applications;
mod attempt;
mod events;
mod large;
mod pace;
mod record;
mod search;

pub(crate) use self::{
    answer::{Answer, Prompt, PromptCall},
    applications::{ApplicationCall, call_application},
};
