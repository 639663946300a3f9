//! Records the limits on requests that targets name, for the decisions of the gateway and for
//! operators.

use crate::gateway::Gateway;
use fulmarhead_lib::placement::{Choice, LimitChange, LimitNews, RateNotice};
use log::info;
use std::time::Instant;

impl Gateway {
    /// Divides the limits of targets among the entries that are known now.
    pub(crate) fn divide_limits(&self) {
        let entries = self.roster().addresses();
        let now = self.clock.now();
        self.state().pool.set_entries(self.settings.control_address, entries, now);
    }

    /// Records what a response of the target of `choice` says about the request rate that it
    /// accepts, and tells the other entries of a change. The request was sent at `sent_at`.
    pub(crate) fn record_rate(&self, choice: &Choice, notice: RateNotice, sent_at: Instant) {
        let now = self.clock.now();
        let change = self.state().pool.record_rate(choice, notice, sent_at, now);
        let Some(change) = change else { return };
        let after_ms = now.saturating_duration_since(sent_at).as_millis() as u64;
        self.announce_limit(&choice.target, change, Some(after_ms));
        self.notify_peers();
    }

    /// Applies what a peer knows of the limits of targets.
    pub(crate) fn merge_limits(&self, news: Vec<LimitNews>) {
        if news.is_empty() {
            return;
        }
        let changes = self.state().pool.merge_limits(news, self.clock.now());
        for (target, change) in changes {
            self.announce_limit(&target, change, None);
        }
    }

    /// Updates the number of limited targets, which also changes with the list.
    pub(crate) fn review_limits(&self) {
        let limited = self.state().pool.limited_count();
        metrics::gauge!("fulmarhead_limited_targets").set(limited as f64);
    }

    /// Records a change of the limit of a target. `after_ms` is the time from the request to the
    /// response with the change, or `None` if a peer told of it.
    fn announce_limit(&self, backend: &str, change: LimitChange, after_ms: Option<u64>) {
        let summary = self.state().pool.summary().request_limits.get(backend).copied();
        let kind = <&'static str>::from(change);
        let source = if after_ms.is_some() { "response" } else { "peer" };
        metrics::counter!("fulmarhead_target_limits_total", "change" => kind, "source" => source)
            .increment(1);
        match change {
            LimitChange::Named(rate) | LimitChange::Changed(rate) => {
                let (per_second, share) = (rate.per_second(), summary.map(|limit| limit.share));
                let entries = self.entry_count();
                info!(
                    target: "decision", backend, per_second, share, entries, source, after_ms,
                    change = kind; "target limits its requests"
                );
            }
            LimitChange::Ended => info!(
                target: "decision", backend, source, after_ms;
                "target no longer limits its requests"
            ),
        }
    }
}
