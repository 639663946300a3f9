//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Renders the metrics of the process.
pub type MetricsHandle = PrometheusHandle;

/// Installs the recorder of the process; fails if there is one already.
pub fn install_metrics() -> Result<MetricsHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}
