//! Last answers by prompt part.

use super::Version;
use crate::ids::PromptPartId;
use std::{collections::BTreeMap, time::Instant};

/// Number of parts after which a new generation begins. Two generations are kept, of at least the
/// parts that the requests of a few minutes hold.
const GENERATION_SIZE: usize = 16_384;

/// Maximum number of answers that a new peer is told of; the newest are kept.
const MAX_NEWS: usize = 2_048;

/// Last answer to a request with a certain part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    /// Time at which the answer reached the stage that is recorded.
    at: Instant,
    /// Version of the last change that matters to peers; 0 if there was none.
    version: Version,
}

/// The most recently answered parts, by one stage of the answer, in bounded memory.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerLog {
    current: BTreeMap<PromptPartId, Answer>,
    previous: BTreeMap<PromptPartId, Answer>,
    /// Parts whose answers peers need to know, by version.
    news: BTreeMap<Version, PromptPartId>,
}

impl AnswerLog {
    /// Returns the time of the last answer to a request with `part`, if it is still known.
    pub(super) fn last(&self, part: PromptPartId) -> Option<Instant> {
        self.get(part).map(|answer| answer.at)
    }

    /// Records an answer. The version of an earlier change that peers need to know is kept.
    pub(super) fn insert(&mut self, part: PromptPartId, at: Instant) {
        let version = self.get(part).map_or(0, |answer| answer.version);
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, Answer { at, version });
    }

    /// Records as `version` that peers need to know the last answer to a request with `part`.
    pub(super) fn publish(&mut self, part: PromptPartId, version: Version) {
        let Some(answer) = self.current.get_mut(&part).or_else(|| self.previous.get_mut(&part))
        else {
            return;
        };
        self.news.remove(&answer.version);
        answer.version = version;
        self.news.insert(version, part);
        if self.news.len() > MAX_NEWS {
            self.news.pop_first();
        }
    }

    /// Returns the answers that peers need to know, with changes after `version`.
    pub(super) fn changed_since(
        &self,
        version: Version,
    ) -> impl Iterator<Item = (PromptPartId, Instant)> {
        let parts = self.news.range(version + 1..).map(|(_, part)| *part);
        parts.filter_map(|part| self.last(part).map(|at| (part, at)))
    }

    fn get(&self, part: PromptPartId) -> Option<&Answer> {
        self.current.get(&part).or_else(|| self.previous.get(&part))
    }
}
