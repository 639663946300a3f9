//! Decisions of the quarantine under the lock of the gateway.

use super::task::LossReport;
use crate::gateway::Gateway;
use fulmarhead_lib::{
    forward::Progress,
    placement::Choice,
    quarantine::{
        AnswerStage, Assessment, CrashId, Detection, Doubt, Feature, FeatureSet, News, Refusal,
        RequestLoss,
    },
};
use log::{info, warn};
use std::time::Instant;

impl Gateway {
    /// Returns why a request with `features` must not be sent, if that is so.
    pub(crate) fn quarantine_refusal(&self, features: &FeatureSet) -> Option<Refusal> {
        self.state().quarantine.refusal(features, self.clock.now())
    }

    /// Waits until one of `features` is quarantined.
    pub(crate) async fn wait_quarantined(&self, features: &FeatureSet) {
        let mut updates = self.quarantine_updates.subscribe();
        while !self.state().quarantine.is_held(features) {
            if features.is_empty() || updates.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether a request with `features`, which lost its target as that began to answer,
    /// should not be sent to another one.
    pub(crate) fn is_suspected(&self, features: &FeatureSet) -> bool {
        self.state().quarantine.is_suspected(features, self.clock.now())
    }

    /// Records that the answer to a request with `features` has reached `stage`, so that they do
    /// not crash its target.
    pub(crate) fn record_stage(&self, stage: AnswerStage, features: &FeatureSet) {
        self.state().quarantine.record_stage(stage, features, self.clock.now());
    }

    /// Reports that the connection to the target of a request with `features` was lost, which may
    /// be a crash.
    pub(crate) fn report_loss(&self, choice: &Choice, progress: Progress, features: &FeatureSet) {
        if features.is_empty() || progress == Progress::Streaming {
            return;
        }
        let crash = CrashId { target: choice.target.clone(), started_at: choice.started_at };
        let loss = RequestLoss { crash, progress, features: features.clone() };
        let (address, at) = (choice.address, self.clock.now());
        self.loss_sender.send(LossReport { loss, address, at });
    }

    /// Records requests that were lost in a crash that is confirmed.
    pub(super) fn record_losses(&self, losses: Vec<(RequestLoss, Instant)>) {
        let now = self.clock.now();
        let mut state = self.state();
        let detections = state.quarantine.record_losses(losses, now);
        let assessment = state.quarantine.strongest_assessment(now);
        drop(state);
        if let Some(assessment) = assessment {
            log_assessment(&assessment);
        }
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
        for Detection { features, targets, spell } in detections {
            let (parts, contents) = (parts_text(&features), contents_text(&features));
            let (crashes, targets) = (targets.len(), targets.join(","));
            if parts.is_empty() {
                metrics::counter!("fulmarhead_quarantined_contents_total").increment(1);
                warn!(
                    target: "decision", contents, spell, crashes, targets;
                    "quarantined a request that crashes targets"
                );
            } else {
                metrics::counter!("fulmarhead_quarantined_parts_total").increment(1);
                warn!(
                    target: "decision", parts, spell, crashes, targets;
                    "quarantined parts of prompts that crash targets"
                );
            }
        }
        self.quarantine_updates.send_modify(|count| *count += 1);
    }

    /// Reviews the evidence, and updates the metrics that change with time and with answers.
    pub(crate) fn review_quarantine(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let detections = state.quarantine.review(now);
        let suspicion = state.quarantine.strongest_suspicion(now);
        let held = state.quarantine.held_count();
        drop(state);
        metrics::gauge!("fulmarhead_suspect_part_crashes").set(suspicion);
        metrics::gauge!("fulmarhead_quarantined_parts").set(held as f64);
        if !detections.is_empty() {
            self.announce(detections);
            self.notify_peers();
        }
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

/// Logs what is known against a feature that is not quarantined yet.
fn log_assessment(assessment: &Assessment) {
    let features = FeatureSet::from([assessment.feature]);
    let (parts, contents) = (parts_text(&features), contents_text(&features));
    let (crashes, evidence, required) =
        (assessment.crashes, assessment.evidence(), assessment.required());
    let doubts: Vec<String> = assessment.doubts.iter().map(Doubt::to_string).collect();
    let doubts = doubts.join(",");
    info!(
        target: "decision", parts, contents, crashes, evidence, required, doubts;
        "not enough evidence to quarantine the most suspected feature"
    );
}

/// Maximum number of features that are written in one line of a log.
const MAX_LOGGED_FEATURES: usize = 64;

/// Returns the parts of prompts among `features` as they are written in logs and dumps. Of many,
/// the first ones are written, and how many more there are.
pub(crate) fn parts_text(features: &FeatureSet) -> String {
    ids_text(features, |feature| match feature {
        Feature::Part(part) => Some(*part),
        Feature::Content(_) => None,
    })
}

/// Returns the digests of contents among `features` in the same way.
pub(crate) fn contents_text(features: &FeatureSet) -> String {
    ids_text(features, |feature| match feature {
        Feature::Content(content) => Some(*content),
        Feature::Part(_) => None,
    })
}

fn ids_text(features: &FeatureSet, id: impl Fn(&Feature) -> Option<u64>) -> String {
    let ids: Vec<u64> = features.iter().filter_map(id).collect();
    let logged = ids.iter().take(MAX_LOGGED_FEATURES).map(|id| format!("{id:x}"));
    let omitted = ids.len().saturating_sub(MAX_LOGGED_FEATURES);
    let omitted = (omitted > 0).then(|| format!("and {omitted} more"));
    logged.chain(omitted).collect::<Vec<String>>().join(",")
}
