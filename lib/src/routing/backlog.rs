//! Work that waits at an entry because no target has room.

use super::urgency::Need;
use crate::{
    cost::{Cost, LengthClass},
    ids::Tokens,
    outcome::{Reason, Refusal},
};
use std::{collections::BTreeMap, time::Duration};

/// Most tokens of prompts that wait at one entry, which holds their text: 64 MB.
const MAX_WAITING: Tokens = 16_000_000;

/// Prompts that wait at an entry for the targets of one model.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    waiting: BTreeMap<LengthClass, Tokens>,
}

impl Backlog {
    /// Counts a prompt that begins to wait.
    pub fn enter(&mut self, cost: Cost) {
        *self.waiting.entry(cost.class()).or_default() += cost.prompt;
    }

    /// Counts a prompt that waits no longer.
    pub fn leave(&mut self, cost: Cost) {
        let waiting = self.waiting.entry(cost.class()).or_default();
        *waiting = waiting.saturating_sub(cost.prompt);
    }

    /// Refuses a prompt that would wait longer than it should, with the time after which the
    /// prompts that wait now are done. `rate` is this entry's share of the prefill rate.
    ///
    /// Only prompts that go before it count, so that long prompts get no short one refused.
    pub fn check(&self, need: Need, rate: Tokens) -> Result<(), Refusal> {
        let delay = self.delay(need.cost.class(), rate);
        let full = self.waiting.values().sum::<Tokens>() + need.cost.prompt > MAX_WAITING;
        if full || need.waited + delay > need.patience() {
            return Err(Refusal::not_run(Reason::Overloaded).after(delay.max(SHORTEST)));
        }
        Ok(())
    }

    fn delay(&self, class: LengthClass, rate: Tokens) -> Duration {
        let before = self.waiting.iter().filter(|(other, _)| **other <= class);
        Cost::prefill_time(before.map(|(_, tokens)| *tokens).sum(), rate)
    }
}

/// Shortest time after which another try is advised.
const SHORTEST: Duration = Duration::from_millis(200);
