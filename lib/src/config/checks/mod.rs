//! Consistency checks of a document that conforms to the schema.
//!
//! Each check reports all problems that it finds instead of stopping at the first one.

mod collector;
mod fleet;
mod release;

use self::collector::Collector;
use super::{Fleet, Problem};
use crate::release::ReleaseNote;

/// Returns every inconsistency in a document.
pub(super) fn fleet(fleet: &Fleet) -> Vec<Problem> {
    let mut collector = Collector::default();
    fleet::check(fleet, &mut collector);
    if let Some(note) = &fleet.release {
        release::check_note(note, "release.", &mut collector);
        release::check_references(note, fleet, &mut collector);
    }
    collector.problems
}

/// Returns every inconsistency in a release note without a document.
pub(super) fn note(note: &ReleaseNote) -> Vec<Problem> {
    let mut collector = Collector::default();
    release::check_note(note, "", &mut collector);
    collector.problems
}
