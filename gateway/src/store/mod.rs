//! What the gateway learns from the platform's store.

mod adopt;
mod watcher;

pub(crate) use self::watcher::{Part, watch};
