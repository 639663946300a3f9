//! What a request needs, and how well each target suits it.
//!
//! A pass of an engine takes as long as all that is read in it, and every stream of the engine
//! pauses that long. So requests that tolerate only short pauses are packed onto few engines, in
//! an order that all entries share, and long prompts are read by the others, in parts.

use super::load::{TargetLoad, is_short, pass_ms};
use crate::{ids::Tokens, routes::EngineModel};
use std::{cmp::Ordering, time::Duration};

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
    /// Whether a late answer is better than none, because the objective has passed already.
    pub overdue: bool,
    /// Random number that spreads the choices of entries that know the same.
    pub draw: u64,
}

/// Part of an engine's slots that requests with short pauses fill before they use another engine.
const PACKED_PART: f64 = 0.5;

/// Part of the slots that they fill before they use the engines that are kept for long prompts.
/// The rest takes those that entries send there before they hear of each other.
const TIGHT_PART: f64 = 0.85;

/// Part of the engines that is kept for long prompts while the others have room.
const KEPT_PART: f64 = 0.15;

/// Part of the tolerated pause or of the objective that reading may fill; the rest is for the
/// pass itself and for what other entries send meanwhile.
const USED_PART: f64 = 0.4;

/// How well a target suits a request; less is better, and the class goes before the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
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

    /// Returns the order of two fits.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        self.class.cmp(&other.class).then(self.cost.total_cmp(&other.cost))
    }

    /// Returns the class.
    pub(super) fn class(self) -> u8 {
        self.class
    }

    /// Returns whether the request would be late at the target.
    pub(super) fn is_late(self) -> bool {
        self.class > 1
    }

    /// Returns whether the target takes the request without harm to anyone.
    pub(super) fn is_harmless(self) -> bool {
        self.class == 0
    }
}

impl Need {
    /// Returns whether the request tolerates only short pauses.
    pub fn is_short(&self) -> bool {
        is_short(millis(self.gap))
    }

    /// Returns how well the engine at `position` of the shared order, with `load`, suits the
    /// request, where the first `packed` engines are for requests with short pauses.
    pub(super) fn fit(
        &self,
        load: &TargetLoad,
        engine: &EngineModel,
        position: usize,
        packed: usize,
    ) -> Fit {
        match self.is_short() {
            true => self.short_fit(load, engine, position < packed),
            false => self.long_fit(load, engine, position),
        }
    }

    fn short_fit(&self, load: &TargetLoad, engine: &EngineModel, packed: bool) -> Fit {
        let reading = f64::from(load.read_ms);
        let free = load.requests < engine.slots;
        let first = pass_ms(load, engine) + reading + engine.read_ms(self.prompt);
        if free && packed && reading <= USED_PART * millis(self.gap) {
            return Fit { class: 0, cost: f64::from(load.requests) + reading / engine.pass_ms() };
        }
        if free && first <= millis(self.objective) {
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

/// Returns how many of `engines` engines take the `short` requests with short pauses.
pub(super) fn packed(short: u32, engines: usize, engine: &EngineModel) -> usize {
    let needed = |part: f64| (f64::from(short) / (part * f64::from(engine.slots))).ceil() as usize;
    let kept = (KEPT_PART * engines as f64).ceil() as usize;
    let most = engines.saturating_sub(kept);
    needed(PACKED_PART).min(most).max(needed(TIGHT_PART)).clamp(1, engines.max(1))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
