//! Review of a valid document before it is published: settings that have no effect, limits that
//! contradict each other, and differences from another document.

mod differences;
mod finding;
mod limits;
mod unused;

pub use self::{
    differences::{Change, Difference, differences},
    finding::{Finding, FindingKind},
};

use super::Fleet;

/// Returns all findings on a valid document, in the order of its sections.
pub fn review(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = unused::findings(fleet);
    findings.extend(limits::findings(fleet));
    findings
}
