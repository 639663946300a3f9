//! Stand-in for an application worker, which records the effect of each call.

mod call;
mod http;
mod state;

pub use self::state::{Application, ApplicationFaults, ApplicationSettings, Effect};
