//! Setup of logs and metrics.

mod logs;
mod metrics;

pub use self::{
    logs::{LogError, init_logs},
    metrics::{MetricsHandle, install_metrics},
};
