//! Last answers by feature of their requests.

use super::{Feature, Version};

use std::{collections::BTreeMap, time::Instant};

/// Number of features after which a new generation begins. Two generations are kept, of at least
/// the features that the requests of a few minutes hold.
const GENERATION_SIZE: usize = 16_384;

/// Maximum number of answers that a new peer is told of; the newest are kept.
const MAX_NEWS: usize = 2_048;

/// Last answer to a request with a certain feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    /// Time at which the answer reached the stage that is recorded.
    at: Instant,
    /// Version of the last change that matters to peers; 0 if there was none.
    version: Version,
}

/// The most recently answered features, by one stage of the answer, in bounded memory.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerLog {
    current: BTreeMap<Feature, Answer>,
    previous: BTreeMap<Feature, Answer>,
    /// Parts whose answers peers need to know, by version.
    news: BTreeMap<Version, Feature>,
}

impl AnswerLog {
    /// Returns the time of the last answer to a request with `feature`, if it is still known.
    pub(super) fn last(&self, feature: Feature) -> Option<Instant> {
        self.get(feature).map(|answer| answer.at)
    }

    /// Records an answer. The version of an earlier change that peers need to know is kept.
    pub(super) fn insert(&mut self, feature: Feature, at: Instant) {
        let version = self.get(feature).map_or(0, |answer| answer.version);
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&feature) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(feature, Answer { at, version });
    }

    /// Records as `version` that peers need to know the last answer to a request with `feature`.
    pub(super) fn publish(&mut self, feature: Feature, version: Version) {
        let Some(answer) =
            self.current.get_mut(&feature).or_else(|| self.previous.get_mut(&feature))
        else {
            return;
        };
        self.news.remove(&answer.version);
        answer.version = version;
        self.news.insert(version, feature);
        if self.news.len() > MAX_NEWS {
            self.news.pop_first();
        }
    }

    /// Returns the answers that peers need to know, with changes after `version`.
    pub(super) fn changed_since(
        &self,
        version: Version,
    ) -> impl Iterator<Item = (Feature, Instant)> {
        let features = self.news.range(version + 1..).map(|(_, feature)| *feature);
        features.filter_map(|feature| self.last(feature).map(|at| (feature, at)))
    }

    fn get(&self, feature: Feature) -> Option<&Answer> {
        self.current.get(&feature).or_else(|| self.previous.get(&feature))
    }
}
