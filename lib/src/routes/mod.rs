//! Routes of callers' requests to services, and the teams that may use them.

mod route;
mod service;
mod table;

pub use self::{
    route::{Repeat, Route},
    service::{EngineModel, Service},
    table::{CallerLimits, Denial, RouteTable, RouteTableBuilder, Selected},
};
