//! An application worker that records each effect.

mod call;
mod http;
mod state;

pub use self::state::{Application, ApplicationFaults, ApplicationSettings, Effect};
