//! Leases on engine memory: the ledger of one engine and reservations over several engines.

mod ledger;
mod plan;
mod reservation;
mod waiting;

pub use self::{
    ledger::{Allocation, Grant, LeaseLedger, LeaseSettings},
    plan::{EngineMemory, PlanError, Share, plan},
    reservation::{Acquiring, Held, Reservation, Step},
};
