//! What the gateway records about the loads and the speed of targets, for its decisions and for
//! operators.

use crate::gateway::Gateway;
use fulmarhead_lib::placement::{Choice, ObservedLoad};
use log::info;
use std::mem::replace;

impl Gateway {
    /// Records the load that the target of `choice` has reported, if it has reported one.
    pub(crate) fn record_observed_load(&self, choice: &Choice, observed: Option<ObservedLoad>) {
        if let Some(observed) = observed {
            let now = self.clock.now();
            self.state().pool.record_observed_load(&choice.target, observed, now);
        }
    }

    /// Logs which targets have become slow or sound, and whether the loads that the other entries
    /// cause are known, if that has changed.
    pub(crate) fn review_loads(&self) {
        self.review_slow_targets();
        let (now, entry_count) = (self.clock.now(), self.entry_count());
        let mut state = self.state();
        // An entry without others knows all loads.
        let known = entry_count == 1 || state.pool.knows_loads(now);
        let changed = state.loads_known.replace(known) != Some(known);
        drop(state);
        metrics::gauge!("fulmarhead_loads_known").set(f64::from(u8::from(known)));
        match known {
            _ if !changed => {}
            true => {
                info!(target: "decision", entry_count; "the loads of the other entries are known")
            }
            false => info!(
                target: "decision", entry_count;
                "the loads of the other entries are not known; requests are spread over all targets for 10 s"
            ),
        }
    }

    fn review_slow_targets(&self) {
        let mut state = self.state();
        let slow = state.pool.slow_targets(self.clock.now());
        let before = replace(&mut state.slow_targets, slow.keys().cloned().collect());
        drop(state);
        metrics::gauge!("fulmarhead_slow_targets").set(slow.len() as f64);
        for (backend, factor) in slow.iter().filter(|(backend, _)| !before.contains(*backend)) {
            metrics::counter!("fulmarhead_targets_slowed_total").increment(1);
            info!(target: "decision", backend, factor; "target is slow; it gets less work");
        }
        for backend in before.iter().filter(|backend| !slow.contains_key(*backend)) {
            info!(target: "decision", backend; "target is no longer slow");
        }
    }
}
