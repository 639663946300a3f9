//! Supervised tasks: every task of a program is the child of a supervisor.

mod connections;
mod tree;

pub use self::{
    connections::Connections,
    tree::{RestartLimit, Supervisor, TaskError, TaskResult},
};
