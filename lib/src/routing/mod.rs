//! Choice of the target for a piece of work.

mod candidate;
mod policy;
mod router;

pub use self::{
    candidate::Candidate,
    policy::PolicyKind,
    router::{Router, RouterSettings},
};
