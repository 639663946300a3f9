//! Records the limits on requests that targets name, for the decisions of the gateway and for
//! operators.

use crate::gateway::Gateway;
use fulmarhead_lib::placement::{Choice, LimitChange, RateNotice};
use log::info;
use std::time::Instant;

impl Gateway {
    /// Records what a response of the target of `choice` says about the request rate that it
    /// accepts. The request was sent at `sent_at`.
    pub(crate) fn record_rate(&self, choice: &Choice, notice: RateNotice, sent_at: Instant) {
        let now = self.clock.now();
        let mut state = self.state();
        let change = state.pool.record_rate(choice, notice, sent_at, now);
        let limited = state.pool.limited_count();
        drop(state);
        let Some(change) = change else { return };
        metrics::gauge!("fulmarhead_limited_targets").set(limited as f64);
        let kind = <&'static str>::from(change);
        metrics::counter!("fulmarhead_target_limits_total", "change" => kind).increment(1);
        let backend = &*choice.target;
        let after_ms = now.saturating_duration_since(sent_at).as_millis() as u64;
        match change {
            LimitChange::Named(rate) | LimitChange::Changed(rate) => {
                let per_second = rate.per_second();
                info!(
                    target: "decision", backend, per_second, after_ms, change = kind;
                    "target limits its requests"
                );
            }
            LimitChange::Ended => {
                info!(target: "decision", backend, after_ms; "target no longer limits its requests");
            }
        }
    }
}
