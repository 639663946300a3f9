//! What a request needs and what it costs at a target.

use super::load::{TargetLoad, pass_ms};
use crate::{ids::Tokens, routes::EngineModel};
use std::time::Duration;

/// What a request asks of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Prompt, in tokens; 0 at an application.
    pub prompt: Tokens,
    /// Expected output, in tokens.
    pub output: Tokens,
    /// Time to the first event that earns full credit.
    pub objective: Duration,
    /// Longest pause between two events that earns full credit.
    pub gap: Duration,
}

/// Share of the credit that is lost when an answer is late.
const LATE_LOSS: f64 = 0.75;

/// Weight of an expected time below the objective, small against the loss of being late.
const TIME_WEIGHT: f64 = 0.2;

/// Weight of an output token against a prompt token in the credit of a request.
const OUTPUT_WEIGHT: f64 = 10.0;

/// Output of a short request, in tokens, as the weight of one that is disturbed.
const SHORT_WEIGHT: f64 = 20_000.0;

impl Need {
    /// Returns the credit of the request, relative to others, in tokens.
    fn weight(&self) -> f64 {
        self.prompt as f64 + OUTPUT_WEIGHT * self.output as f64
    }

    /// Returns the expected loss of credit, in tokens, if an engine with `load` takes the request.
    pub(super) fn cost(&self, load: &TargetLoad, engine: &EngineModel) -> f64 {
        let pass = pass_ms(load, engine);
        let mine = engine.read_ms(self.prompt);
        let reading = f64::from(load.read_ms) + mine;
        let queue = load.requests.saturating_sub(engine.slots - 1);
        let waiting = f64::from(queue) * pass * 4.0;
        let first = pass + reading + waiting;
        let objective = self.objective.as_secs_f64() * 1e3;
        let late = if first > objective { LATE_LOSS } else { 0.0 };
        let own = self.weight() * (late + TIME_WEIGHT * first / objective);
        own + self.harm(load, pass, mine)
    }

    /// Returns the loss of others at the engine whose pauses become too long.
    fn harm(&self, load: &TargetLoad, pass: f64, mine: f64) -> f64 {
        let pause = pass + mine;
        if pause < 180.0 {
            return 0.0;
        }
        f64::from(load.short) * SHORT_WEIGHT * LATE_LOSS
    }
}
