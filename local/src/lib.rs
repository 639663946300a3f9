//! A complete fleet in one process: entries, agents and stand-ins run as supervised tasks.

pub mod demo;
mod fleet;
mod plan;
mod settings;

pub use self::{
    fleet::{Fleet, FleetError, FleetHandle, start},
    plan::{AgentAddresses, Plan, TOKEN, team_token},
    settings::{Settings, command},
};
