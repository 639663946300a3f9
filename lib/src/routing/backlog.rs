//! Prompts that wait at an entry because no target has capacity for them.

use super::urgency::RequestProfile;
use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
    outcome::{Reason, Refusal},
};
use std::{collections::BTreeMap, time::Duration};

/// Maximum number of prompt tokens that wait at an entry for one model.
///
/// The entry keeps the text of the prompts in memory, which takes up to 64 MB per model.
const MAX_WAITING_TOKENS: Tokens = 16_000_000;

/// Prompt tokens, by length class, that wait at an entry for the targets of one model.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waiting: BTreeMap<LengthClass, Tokens>,
}

impl Backlog {
    /// Adds a prompt that starts to wait.
    pub fn add(&mut self, cost: Cost) {
        *self.waiting.entry(cost.class()).or_default() += cost.prompt;
    }

    /// Removes a prompt that no longer waits.
    pub fn remove(&mut self, cost: Cost) {
        let waiting = self.waiting.entry(cost.class()).or_default();
        *waiting = waiting.saturating_sub(cost.prompt);
    }

    /// Checks whether a prompt may wait.
    ///
    /// `rate` is this entry's share of the combined prefill rate of the model's targets, in tokens
    /// per second.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the prompt would exceed its maximum wait or the memory for waiting
    /// prompts. The retry delay is the time needed to prefill the prompts ahead. Only prompts of
    /// the same or a shorter class count as ahead, so that the queue of long prompts does not cause
    /// short ones to be refused.
    pub fn check(&self, profile: RequestProfile, rate: Tokens) -> Result<(), Refusal> {
        let delay = self.delay(profile.cost.class(), rate);
        let full = self.waiting.values().sum::<Tokens>() + profile.cost.prompt > MAX_WAITING_TOKENS;
        if full || profile.waited + delay > profile.max_wait() {
            return Err(
                Refusal::not_run(Reason::Overloaded).with_retry_after(delay.max(MIN_RETRY_AFTER))
            );
        }
        Ok(())
    }

    fn delay(&self, class: LengthClass, rate: Tokens) -> Duration {
        let ahead = self.waiting.iter().filter(|(other, _)| **other <= class);
        Cost::prefill_time(ahead.map(|(_, tokens)| *tokens).sum(), rate)
    }
}

/// Minimum retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
