//! The release note: what the fleet is to become, and whose turn it is to change.

mod desired;
mod fencing;
mod group;
mod note;
mod order;
mod rollout;
mod turn;

pub use self::{
    desired::orders,
    fencing::{Fencing, Superseded},
    group::Reports,
    note::{Action, AdapterChange, ModelChange, ReleaseNote, TargetChange, ZoneChange},
    order::{LoadedModel, Order, OrderRequest},
    rollout::{EngineState, Rollout, Situation, Stage, Step, WaitReason},
};
