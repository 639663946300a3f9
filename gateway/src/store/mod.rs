//! Replicas of the platform's store, and what the gateway activates from them.

mod adopt;
mod watcher;

pub(crate) use self::watcher::{StorePart, is_stale, watch_store};
