//! Configuration of the fleet: documents, their validation, and the active revision.

mod checks;
mod document;
mod problem;
mod schema;
mod shape;
mod validate;
mod view;

pub use self::{
    document::{
        Application, Bounds, Entry, Fleet, Model, Policy, Route, Target, TargetKind, Team, Zone,
    },
    problem::{Problem, ProblemKind},
    validate::{ConfigError, parse, parse_note, parse_revision},
    view::{ActiveConfig, Adoption, Bundle},
};
