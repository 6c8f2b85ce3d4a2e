//! The figures of a run and their bounds.

use std::collections::BTreeMap;

use serde::Serialize;

/// Upper or lower limit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The figure is at most this value.
    AtMost(f64),
    /// The figure is at least this value.
    AtLeast(f64),
}

impl Limit {
    /// Returns whether a figure is within the limit; NaN never is.
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
    /// Text in the legend.
    pub label: String,
    /// Points (x, y) in order of x.
    pub points: Vec<(f64, f64)>,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Figures by name; the name ends with the unit where there is one.
    pub figures: BTreeMap<String, f64>,
    /// Limits by name of the figure.
    pub bounds: BTreeMap<String, Limit>,
    /// Curves to plot.
    pub series: Vec<Series>,
}

/// The JSON line that ends a run.
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

    /// Sets the limit of a figure.
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

    /// Returns whether every bound has a figure and the figure is within it.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.bounds
            .iter()
            .all(|(name, limit)| self.figures.get(name).is_some_and(|f| limit.holds(*f)))
    }

    /// Formats the report as one JSON line.
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
