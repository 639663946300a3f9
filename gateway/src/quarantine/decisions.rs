//! Decisions of the quarantine under the lock of the gateway.

use super::task::LossReport;
use crate::gateway::Gateway;
use fulmarhead_lib::{
    forward::Progress,
    ids::PromptPartId,
    placement::Choice,
    quarantine::{CrashId, Detection, News, Refusal, RequestLoss},
};
use log::{info, warn};
use std::time::Instant;

impl Gateway {
    /// Returns why a request with `parts` must not be sent, if that is so.
    pub(crate) fn quarantine_refusal(&self, parts: &[PromptPartId]) -> Option<Refusal> {
        self.state().quarantine.refusal(parts, self.clock.now())
    }

    /// Waits until one of `parts` is quarantined.
    pub(crate) async fn wait_quarantined(&self, parts: &[PromptPartId]) {
        let mut updates = self.quarantine_updates.subscribe();
        while !self.state().quarantine.is_held(parts) {
            if parts.is_empty() || updates.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether a request with `parts`, which lost its target as that began to answer,
    /// should not be sent to another one.
    pub(crate) fn is_suspected(&self, parts: &[PromptPartId]) -> bool {
        self.state().quarantine.is_suspected(parts, self.clock.now())
    }

    /// Records that a target has begun to send the answer to a request with `parts`.
    pub(crate) fn record_answer(&self, parts: &[PromptPartId]) {
        self.state().quarantine.record_answer(parts, self.clock.now());
    }

    /// Reports that the connection to the target of a request with `parts` was lost, which may be a
    /// crash.
    pub(crate) fn report_loss(&self, choice: &Choice, progress: Progress, parts: &[PromptPartId]) {
        if parts.is_empty() || progress == Progress::Streaming {
            return;
        }
        let crash = CrashId { target: choice.target.clone(), started_at: choice.started_at };
        let loss = RequestLoss { crash, progress, parts: parts.to_vec() };
        let (address, at) = (choice.address, self.clock.now());
        self.loss_sender.send(LossReport { loss, address, at });
    }

    /// Records requests that were lost in a crash that is confirmed.
    pub(super) fn record_losses(&self, losses: Vec<(RequestLoss, Instant)>) {
        let now = self.clock.now();
        let mut state = self.state();
        let mut detections = Vec::new();
        for (loss, at) in losses {
            detections.extend(state.quarantine.record_loss(loss, at, now));
        }
        drop(state);
        self.announce(detections);
        self.notify_peers();
    }

    /// Applies what a peer knows of crashes and quarantined parts.
    pub(crate) fn merge_news(&self, news: News) {
        if news.is_empty() {
            return;
        }
        let detections = self.state().quarantine.merge(news, self.clock.now());
        self.announce(detections);
    }

    fn announce(&self, detections: Vec<Detection>) {
        if detections.is_empty() {
            return;
        }
        for Detection { parts, targets, spell } in detections {
            metrics::counter!("fulmarhead_quarantined_parts_total").increment(1);
            let (parts, crashes) = (parts_text(&parts), targets.len());
            let targets = targets.join(",");
            warn!(
                target: "decision", parts, spell, crashes, targets;
                "quarantined parts of prompts that crash targets"
            );
        }
        self.quarantine_updates.send_modify(|count| *count += 1);
    }

    /// Updates the metrics that change with time and with answers.
    pub(crate) fn update_quarantine_metrics(&self) {
        let state = self.state();
        let suspicion = state.quarantine.strongest_suspicion(self.clock.now());
        let held = state.quarantine.held_count();
        drop(state);
        metrics::gauge!("fulmarhead_suspect_part_crashes").set(suspicion);
        metrics::gauge!("fulmarhead_quarantined_parts").set(held as f64);
    }

    /// Records that a target accepts connections although it broke off an answer.
    pub(super) fn record_survival(&self, crash: &CrashId) {
        metrics::counter!("fulmarhead_targets_survived_total").increment(1);
        info!(
            target: "decision", backend = &*crash.target;
            "target lost a request and still accepts connections"
        );
    }
}

/// Returns the parts as they are written in logs and dumps.
pub(crate) fn parts_text<'a>(parts: impl IntoIterator<Item = &'a PromptPartId>) -> String {
    let parts: Vec<String> = parts.into_iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}
