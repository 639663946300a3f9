//! Collects the problems of a document during its checks.

use super::super::problem::{Problem, ProblemKind};
use crate::keys::is_valid_name;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

/// Problems found so far, and the values seen for each kind of unique value.
#[derive(Debug, Default)]
pub(super) struct Collector {
    pub(super) problems: Vec<Problem>,
    seen: BTreeMap<&'static str, BTreeSet<String>>,
}

impl Collector {
    /// Adds a problem with the value `found` at `path`.
    pub(super) fn add(&mut self, path: impl Into<String>, kind: ProblemKind, found: impl Display) {
        self.problems.push(Problem::new(path, kind, found));
    }

    /// Adds a problem unless `valid` is true.
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

    /// Requires that `name` is a valid name, so that idempotency keys can contain it.
    pub(super) fn require_name(&mut self, path: impl Into<String>, name: &str) {
        self.require(is_valid_name(name), path, ProblemKind::InvalidName, name);
    }

    /// Requires that `value` was not seen before in `scope`.
    pub(super) fn require_unique(
        &mut self,
        scope: &'static str,
        path: impl Into<String>,
        value: &str,
    ) {
        let new = self.seen.entry(scope).or_default().insert(value.to_owned());
        self.require(new, path, ProblemKind::Duplicate, value);
    }

    /// Requires that each of `names` is defined and occurs only once.
    pub(super) fn require_references(
        &mut self,
        path: &str,
        names: &[String],
        defined: &BTreeSet<&str>,
    ) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{path}[{index}]");
            self.require(defined.contains(name.as_str()), &path, ProblemKind::Undefined, name);
            self.require(seen.insert(name), &path, ProblemKind::Duplicate, name);
        }
    }
}
