//! Figures of a run and the bounds they are held to.

use std::collections::BTreeMap;

use serde::Serialize;

/// Which side of a value a figure must be on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The figure is at most this value.
    AtMost(f64),
    /// The figure is at least this value.
    AtLeast(f64),
}

impl Limit {
    /// Whether a figure keeps the limit. A figure that is not a number keeps none.
    #[must_use]
    pub fn holds(self, figure: f64) -> bool {
        match self {
            Self::AtMost(value) => figure <= value,
            Self::AtLeast(value) => figure >= value,
        }
    }
}

/// A curve to plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Legend.
    pub label: String,
    /// Points in order of the abscissa.
    pub points: Vec<(f64, f64)>,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Figures by name; units are part of the name.
    pub figures: BTreeMap<String, f64>,
    /// Limits on figures by name of the figure.
    pub bounds: BTreeMap<String, Limit>,
    /// Curves to plot.
    pub series: Vec<Series>,
}

/// The line that ends a run.
#[derive(Serialize)]
struct ReportLine<'a> {
    experiment: &'a str,
    seed: u64,
    figures: &'a BTreeMap<String, f64>,
    bounds: &'a BTreeMap<String, Limit>,
    pass: bool,
}

impl Report {
    /// Adds a figure.
    pub fn figure(&mut self, name: &str, value: f64) -> &mut Self {
        self.figures.insert(name.to_owned(), value);
        self
    }

    /// Holds a figure to a limit.
    pub fn bound(&mut self, name: &str, limit: Limit) -> &mut Self {
        self.bounds.insert(name.to_owned(), limit);
        self
    }

    /// Adds a curve.
    pub fn curve(&mut self, label: &str, points: Vec<(f64, f64)>) -> &mut Self {
        let label = label.to_owned();
        self.series.push(Series { label, points });
        self
    }

    /// Whether every bound has its figure and the figure keeps it.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.bounds
            .iter()
            .all(|(name, limit)| self.figures.get(name).is_some_and(|f| limit.holds(*f)))
    }

    /// The report as one JSON line.
    ///
    /// # Errors
    ///
    /// Fails if a figure cannot be written as JSON.
    pub fn json_line(&self, experiment: &str, seed: u64) -> eyre::Result<String> {
        let line = ReportLine {
            experiment,
            seed,
            figures: &self.figures,
            bounds: &self.bounds,
            pass: self.passes(),
        };
        Ok(serde_json::to_string(&line)?)
    }
}
