//! The process-wide metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder on the first call and returns a handle that renders the metrics as
/// Prometheus text.
///
/// Returns `None` if the process already has another recorder.
pub fn install() -> Option<&'static PrometheusHandle> {
    RECORDER
        .get_or_init(|| PrometheusBuilder::new().install_recorder().ok())
        .as_ref()
}

/// Upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Like [`install`], but histograms have fixed buckets, so that their memory does not grow with the
/// number of recorded values.
pub fn install_with_buckets() -> Option<&'static PrometheusHandle> {
    RECORDER
        .get_or_init(|| {
            let builder = PrometheusBuilder::new()
                .set_buckets(&HISTOGRAM_BUCKETS_S)
                .ok()?;
            builder.install_recorder().ok()
        })
        .as_ref()
}

/// The current metrics as Prometheus text; empty if another recorder is installed.
#[must_use]
pub fn render() -> String {
    install().map_or_else(String::new, PrometheusHandle::render)
}
