//! Checks of a document that fits the schema, each listing all that it finds.

mod collector;
mod fleet;
mod release;

use self::collector::Collector;
use super::{Fleet, Problem};
use crate::release::ReleaseNote;

/// Returns every contradiction in a document.
pub(super) fn fleet(fleet: &Fleet) -> Vec<Problem> {
    let mut collector = Collector::default();
    fleet::check(fleet, &mut collector);
    if let Some(note) = &fleet.release {
        release::check_note(note, "release.", &mut collector);
        release::check_references(note, fleet, &mut collector);
    }
    collector.problems
}

/// Returns every contradiction in a release note that stands alone.
pub(super) fn note(note: &ReleaseNote) -> Vec<Problem> {
    let mut collector = Collector::default();
    release::check_note(note, "", &mut collector);
    collector.problems
}
