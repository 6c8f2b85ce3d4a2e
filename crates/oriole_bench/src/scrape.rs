//! Reads counters from the process's own metrics.

/// Sums a counter over the label sets that contain `labels`.
///
/// `text` is in the Prometheus exposition format, as `oriole_kernel::telemetry::render` returns it.
///
/// ```
/// use oriole_bench::scrape::counter_sum;
/// let text = "# TYPE calls counter\ncalls{service=\"load\"} 3\ncalls{service=\"config\"} 4\n";
/// assert_eq!(counter_sum(text, "calls", ""), 7.0);
/// assert_eq!(counter_sum(text, "calls", "load"), 3.0);
/// ```
#[must_use]
pub fn counter_sum(text: &str, name: &str, labels: &str) -> f64 {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '))
        .filter(|(series, _)| {
            let series_name = series.split('{').next().unwrap_or(series);
            series_name == name && series.contains(labels)
        })
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}
