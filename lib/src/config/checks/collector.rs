//! Collects problems while a document is checked.

use super::super::problem::{Problem, ProblemKind};
use crate::keys::is_valid_name;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

/// The problems found so far and the values that must be unique.
#[derive(Debug, Default)]
pub(super) struct Collector {
    pub(super) problems: Vec<Problem>,
    seen: BTreeMap<&'static str, BTreeSet<String>>,
}

impl Collector {
    /// Records a problem.
    pub(super) fn add(&mut self, path: impl Into<String>, kind: ProblemKind, found: impl Display) {
        self.problems.push(Problem::new(path, kind, found));
    }

    /// Records a problem unless `valid`.
    pub(super) fn require(
        &mut self,
        valid: bool,
        path: impl Into<String>,
        kind: ProblemKind,
        found: impl Display,
    ) {
        if !valid {
            self.add(path, kind, found);
        }
    }

    /// Requires that `name` has only characters that an idempotency key can carry.
    pub(super) fn name(&mut self, path: impl Into<String>, name: &str) {
        self.require(is_valid_name(name), path, ProblemKind::InvalidName, name);
    }

    /// Requires that `value` was not seen before under `what`.
    pub(super) fn unique(&mut self, what: &'static str, path: impl Into<String>, value: &str) {
        let new = self.seen.entry(what).or_default().insert(value.to_owned());
        self.require(new, path, ProblemKind::Duplicate, value);
    }

    /// Requires that each of `names` is in `defined` and stands once.
    pub(super) fn references(&mut self, path: &str, names: &[String], defined: &BTreeSet<&str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{path}[{index}]");
            self.require(defined.contains(name.as_str()), &path, ProblemKind::Undefined, name);
            self.require(seen.insert(name), &path, ProblemKind::Duplicate, name);
        }
    }
}
