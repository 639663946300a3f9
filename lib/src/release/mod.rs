//! Rollout of release notes: the desired state of the fleet, and which targets may change now.

mod desired;
mod fencing;
mod group;
mod note;
mod order;
mod rollout;
mod turn;

pub use self::{
    desired::required_orders,
    fencing::{FencingSequence, Superseded},
    group::Reports,
    note::{Action, AdapterChange, ModelChange, ReleaseNote, TargetChange, ZoneChange},
    order::{LoadedModel, Order, OrderRequest},
    rollout::{EngineState, Rollout, Stage, Step, StepInput, WaitReason},
};
