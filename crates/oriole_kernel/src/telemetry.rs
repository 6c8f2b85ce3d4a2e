//! The process-wide metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once and returns a handle that renders the metrics as Prometheus text.
///
/// Returns `None` if another recorder is installed already.
pub fn open() -> Option<&'static PrometheusHandle> {
    HANDLE
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}

/// The metrics as Prometheus text; empty if no recorder is installed.
#[must_use]
pub fn render() -> String {
    open().map_or_else(String::new, PrometheusHandle::render)
}
