//! The entry: takes callers' requests, chooses targets, and answers in time.

mod callers;
mod control;
mod dispatch;
mod dump;
mod entry;
mod known;
mod peers;
mod settings;
mod tree;
mod watcher;

pub use self::{
    entry::Entry,
    settings::{Settings, command},
    tree::{Listeners, run},
};
