//! Prefill that the streams of an engine tolerate, and the split of a prompt by it.

use super::{
    RequestProfile,
    cost::{PREFILL_SHARE, millis},
    load::{TargetLoad, is_latency_sensitive, loaded_pass_ms},
    selection::MAX_HELPERS,
};
use crate::routes::EngineModel;

/// Share of the shortest tolerated gap that a pass may take once a part of a prompt is added. The
/// rest covers prompts that other entries send at the same time, which become known 0.1 to 0.3 s
/// later.
const GAP_SHARE: f64 = 0.6;

/// Prefill queue of an engine, and the prefill that can be added to its next passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PrefillRoom {
    /// Prefill time of the prompts in the queue, in ms.
    wait_ms: f64,
    /// Longest prefill that delays no stream of the engine too much, in ms; negative if the queue
    /// already does.
    room_ms: f64,
}

impl PrefillRoom {
    /// Returns the room at an engine with `load`. It is unlimited without latency-sensitive
    /// requests, since the others tolerate a part of any prompt.
    pub(super) fn of(load: &TargetLoad, engine: &EngineModel) -> Self {
        let wait_ms = f64::from(load.prefill_ms);
        if load.latency_sensitive == 0 {
            return Self { wait_ms, room_ms: f64::INFINITY };
        }
        let gap_ms = f64::from(load.min_gap_ms);
        // Entries of older versions report latency-sensitive requests without their gap.
        if gap_ms == 0.0 || !is_latency_sensitive(gap_ms) {
            return Self { wait_ms, room_ms: 0.0 };
        }
        let pass_ms = loaded_pass_ms(load, engine).max(engine.base_pass_ms());
        let room_ms = GAP_SHARE * gap_ms - pass_ms - wait_ms;
        Self { wait_ms, room_ms }
    }

    /// Returns whether a part of `part_ms` delays no stream of the engine too much.
    pub(super) fn admits(&self, part_ms: f64) -> bool {
        part_ms <= self.room_ms
    }

    /// Returns when a part of `part_ms` is prefilled, in ms from now.
    fn end_ms(&self, part_ms: f64) -> f64 {
        self.wait_ms + part_ms
    }
}

impl RequestProfile {
    /// Returns the helpers, as indexes of `helpers`, that prefill parts of the prompt beside the
    /// selected engine. `prefill_ms` is the prefill time of the whole prompt, and `helpers` are in
    /// the order of preference.
    ///
    /// The prompt is split into the smallest number of parts with which each part takes at most
    /// `PREFILL_SHARE` of the tolerated gap, is within the room of its engine, and ends within that
    /// share of the objective. If there is no such number, the split is the one that ends first.
    pub(super) fn split(
        &self,
        prefill_ms: f64,
        selected: PrefillRoom,
        helpers: &[PrefillRoom],
    ) -> Vec<usize> {
        let max_part = PREFILL_SHARE * millis(self.max_gap);
        let max_end = PREFILL_SHARE * millis(self.objective);
        for count in 1..=MAX_HELPERS + 1 {
            let part = prefill_ms / count as f64;
            let fits = |room: &PrefillRoom| room.admits(part) && room.end_ms(part) <= max_end;
            if part > max_part || !fits(&selected) {
                continue;
            }
            let fitting = helpers.iter().enumerate().filter(|(_, room)| fits(room));
            let parts: Vec<usize> = fitting.map(|(index, _)| index).take(count - 1).collect();
            if parts.len() == count - 1 {
                return parts;
            }
        }
        earliest_split(prefill_ms, selected, helpers)
    }
}

/// Returns the split that ends first, among the helpers that have room for its smallest part.
///
/// Its parts may exceed that room. Bounding each by the room of its engine leaves long prompts with
/// few helpers; in the load model fewer requests of each kind were on time in total.
fn earliest_split(prefill_ms: f64, selected: PrefillRoom, helpers: &[PrefillRoom]) -> Vec<usize> {
    let smallest_part = prefill_ms / (MAX_HELPERS + 1) as f64;
    let fitting = helpers.iter().enumerate().filter(|(_, room)| room.admits(smallest_part));
    let fitting: Vec<usize> = fitting.map(|(index, _)| index).take(MAX_HELPERS).collect();
    let mut wait = selected.wait_ms;
    let mut best = (selected.end_ms(prefill_ms), 0);
    for (count, index) in (1..).zip(&fitting) {
        wait = wait.max(helpers[*index].wait_ms);
        let end = wait + prefill_ms / f64::from(count + 1);
        if end < best.0 {
            best = (end, count as usize);
        }
    }
    fitting.into_iter().take(best.1).collect()
}
