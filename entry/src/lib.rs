//! Entry of fulmarhead, which accepts requests from callers and routes them to targets.
//!
//! Every request gets an answer or a refusal by its deadline.

mod callers;
mod control;
mod dispatch;
mod dump;
mod entry;
mod peers;
mod prefixes;
mod settings;
mod targets;
mod tree;
mod watcher;

pub use self::{
    entry::Entry,
    settings::{Settings, command},
    tree::{Listeners, run},
};
