//! Routing table from callers' requests to services, with the teams that may use them.

mod route;
mod service;
mod table;

pub use self::{
    route::{RetryPolicy, Route},
    service::{EngineModel, Service},
    table::{CallerLimits, Denial, RouteMatch, RouteTable, RouteTableBuilder},
};
