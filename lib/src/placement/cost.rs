//! What a request needs, and how well each target suits it.
//!
//! A pass of an engine takes as long as all that is read in it, and every stream of the engine
//! pauses that long. So requests that tolerate only short pauses are packed onto few engines, in
//! an order that all entries share, and long prompts are read by the others, in parts.

use super::load::{TargetLoad, is_short, pass_ms};
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

/// Part of an engine's slots that requests with short pauses fill before they use another engine.
/// The rest takes those that entries send there before they hear of each other.
const PACKED_PART: f64 = 0.5;

/// Part of the tolerated pause or of the objective that reading may fill; the rest is for the
/// pass itself and for what other entries send meanwhile.
const USED_PART: f64 = 0.4;

/// How well a target suits a request; less is better, and the class goes before the cost.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Fit {
    /// 0 is without harm to anyone, 1 without expected harm to the request, 2 any other.
    class: u8,
    cost: f64,
}

impl Fit {
    /// Returns how well a target of an application with `load` suits a request.
    pub(super) fn of_application(load: &TargetLoad) -> Self {
        Self { class: 0, cost: f64::from(load.requests + 1) }
    }

    /// Returns the fit with its cost multiplied by `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self { cost: self.cost * factor, ..self }
    }

    /// Returns whether the target takes the request without harm to anyone.
    pub(super) fn is_harmless(self) -> bool {
        self.class == 0
    }
}

impl Need {
    /// Returns whether the request tolerates only short pauses.
    pub(super) fn is_short(&self) -> bool {
        is_short(millis(self.gap))
    }

    /// Returns how well the engine at `position` of the shared order, with `load`, suits the
    /// request.
    pub(super) fn fit(&self, load: &TargetLoad, engine: &EngineModel, position: usize) -> Fit {
        match self.is_short() {
            true => self.short_fit(load, engine, position),
            false => self.long_fit(load, engine, position),
        }
    }

    fn short_fit(&self, load: &TargetLoad, engine: &EngineModel, position: usize) -> Fit {
        let reading = f64::from(load.read_ms);
        let packed = f64::from(load.requests) < PACKED_PART * f64::from(engine.slots);
        if packed && reading <= USED_PART * millis(self.gap) {
            return Fit { class: 0, cost: position as f64 };
        }
        let first = pass_ms(load, engine) + reading + engine.read_ms(self.prompt);
        if load.requests < engine.slots && first <= millis(self.objective) {
            return Fit { class: 1, cost: first };
        }
        let waiting = load.requests.saturating_sub(engine.slots - 1);
        Fit { class: 2, cost: first * (1.0 + f64::from(waiting)) }
    }

    fn long_fit(&self, load: &TargetLoad, engine: &EngineModel, position: usize) -> Fit {
        let fits = load.memory + self.prompt + self.output <= engine.memory;
        let free = load.requests < engine.slots;
        let place = 1.0 / (1.0 + position as f64);
        let cost = f64::from(load.read_ms) + f64::from(load.writing) + place;
        match (fits && free, load.short) {
            (true, 0) => Fit { class: 0, cost },
            (true, short) => Fit { class: 1, cost: cost + f64::from(short) * millis(self.gap) },
            (false, _) => Fit { class: 2, cost: load.memory as f64 },
        }
    }

    /// Returns whether an engine with `load` may read parts of the prompt for another.
    pub(super) fn may_help(&self, load: &TargetLoad) -> bool {
        load.short == 0
    }

    /// Returns how many of the engines whose reading takes `waits`, in ms and ascending, share
    /// the prompt: the fewest whose parts disturb no one and that keep the objective.
    pub(super) fn parts(&self, read_ms: f64, first_wait: f64, waits: &[f64]) -> usize {
        let bound = USED_PART * millis(self.gap);
        let enough = USED_PART * millis(self.objective);
        let mut best = (f64::INFINITY, 1);
        let mut wait = first_wait;
        for count in 1..=waits.len() + 1 {
            if count > 1 {
                wait = wait.max(waits[count - 2]);
            }
            let part = read_ms / count as f64;
            if part <= bound && wait + part <= enough {
                return count;
            }
            if wait + part < best.0 {
                best = (wait + part, count);
            }
        }
        best.1
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
