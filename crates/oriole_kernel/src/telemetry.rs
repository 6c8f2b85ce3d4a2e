//! The process-wide metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder once and returns a handle that renders the metrics as Prometheus text.
///
/// Returns `None` if another recorder is installed already.
pub fn install() -> Option<&'static PrometheusHandle> {
    HANDLE
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}

/// Bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// As [`install`], with histograms of fixed buckets, whose memory does not grow with what is
/// recorded.
pub fn install_with_buckets() -> Option<&'static PrometheusHandle> {
    HANDLE
        .get_or_init(|| {
            let builder = PrometheusBuilder::new().set_buckets(&BUCKETS).ok()?;
            builder.install_recorder().ok()
        })
        .as_ref()
}

/// The metrics as Prometheus text; empty if no recorder is installed.
#[must_use]
pub fn render() -> String {
    install().map_or_else(String::new, PrometheusHandle::render)
}
