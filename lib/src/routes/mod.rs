//! Routes of callers' requests to services, and the teams that may use them.

mod route;
mod service;
mod table;

pub use self::{
    route::{Repeat, Route},
    service::{EngineModel, Service, WarmUp},
    table::{CallerLimits, Denial, RouteTable, RouteTableBuilder, Selected},
};
