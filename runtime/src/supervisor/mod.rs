//! Task supervision: permanent tasks that are restarted, and a task for each connection.

mod connections;
mod tree;

pub use self::{
    connections::{ConnectionPermit, Connections},
    tree::{RestartLimit, Supervisor, TaskError, TaskResult},
};
