//! Draws series as SVG.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::report::Series;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 540);

/// Draws curves into an SVG file.
///
/// # Errors
///
/// Fails if there is no point to draw or the file cannot be written.
pub fn draw(path: &Path, title: &str, series: &[Series]) -> eyre::Result<()> {
    let (xs, ys) = ranges(series).ok_or_else(|| eyre!("{title} has no series to plot"))?;
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(xs, ys)?;
    chart.configure_mesh().draw()?;
    for (i, s) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(s.points.iter().copied(), color))?
            .label(&s.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn ranges(series: &[Series]) -> Option<(std::ops::Range<f64>, std::ops::Range<f64>)> {
    let points = || series.iter().flat_map(|s| &s.points);
    let xs = bounds(points().map(|p| p.0))?;
    let ys = bounds(points().map(|p| p.1))?;
    Some((xs, ys))
}

fn bounds(values: impl Iterator<Item = f64>) -> Option<std::ops::Range<f64>> {
    let (low, high) = values.filter(|v| v.is_finite()).fold(
        None,
        |range: Option<(f64, f64)>, v| match range {
            None => Some((v, v)),
            Some((low, high)) => Some((low.min(v), high.max(v))),
        },
    )?;
    let margin = ((high - low) * 0.05).max(1e-9);
    Some(low - margin..high + margin)
}
