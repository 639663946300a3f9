//! Setup of metrics in the Prometheus text format.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Handle that renders the metrics of the process as Prometheus text.
pub type MetricsHandle = PrometheusHandle;

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Returns an error if a recorder is already installed.
pub fn install_metrics() -> Result<MetricsHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}
