//! The fleet's configuration: documents, their validation, and the revision in force.

mod checks;
mod document;
mod problem;
mod schema;
mod shape;
mod validate;
mod view;

pub use self::{
    document::{Application, Bounds, Entry, Fleet, Kind, Model, Policy, Route, Target, Team, Zone},
    problem::{Problem, ProblemKind},
    validate::{ConfigError, parse, parse_note, parse_revision},
    view::{Adoption, Bundle, ConfigView},
};
