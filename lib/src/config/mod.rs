//! The fleet's configuration: documents, their validation, and the revision in force.

mod document;
mod validate;
mod view;

pub use self::{
    document::{Application, Bounds, Entry, Fleet, Kind, Model, Policy, Route, Target, Team, Zone},
    validate::{ConfigError, Problem, parse},
    view::{Adoption, Bundle, ConfigView},
};
