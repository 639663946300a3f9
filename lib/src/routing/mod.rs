//! Choice of the target for a piece of work.

mod affinity;
mod backlog;
mod candidate;
mod directory;
mod group;
mod policy;
mod router;
mod urgency;

pub use self::{
    affinity::{Affinity, Prefixes},
    backlog::Backlog,
    candidate::{Candidate, Since},
    directory::{Capacity, Directory, Query, Service},
    policy::PolicyKind,
    router::{Decision, Router, RouterSettings},
    urgency::{Need, is_aged},
};
