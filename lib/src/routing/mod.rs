//! Selection of the target for a request.

mod affinity;
mod backlog;
mod candidate;
mod directory;
mod group;
mod policy;
mod prefix_caches;
mod router;
mod urgency;

pub use self::{
    affinity::{Affinity, PrefixHashes},
    backlog::Backlog,
    candidate::{Candidate, UnreportedLoad},
    directory::{Capacity, Directory, Query, Service},
    policy::{AffinityKind, PolicyKind},
    prefix_caches::{Hit, PrefixCaches},
    router::{Decision, Router, RouterSettings, is_unreachable},
    urgency::{RequestProfile, is_aged},
};
