//! Configuration of the fleet: documents, their validation, and the active revision.

mod active;
mod checks;
mod document;
mod problem;
mod review;
mod schema;
mod shape;
mod validate;

pub use self::{
    active::{ActiveConfig, Adoption, Bundle},
    document::{
        Application, Bounds, Entry, Fleet, Model, Policy, Route, Target, TargetKind, Team, Zone,
    },
    problem::{Problem, ProblemKind},
    review::{Change, Difference, Finding, FindingKind, differences, review},
    validate::{ConfigError, parse, parse_note, parse_revision},
};
