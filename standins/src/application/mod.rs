//! An application worker that records each effect.

mod http;
mod state;

pub use self::state::{Application, ApplicationSettings, Effect};
