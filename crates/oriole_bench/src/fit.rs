//! Fits a straight line to measured points.

/// A fitted straight line and its largest deviation from the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at x = 0.
    pub intercept: f64,
    /// Growth of y per unit of x.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Fits a line by least squares; it is flat if there are fewer than two points.
    ///
    /// ```
    /// use oriole_bench::fit::Line;
    /// let line = Line::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert!((line.at(10.0) - 21.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let mut line = Self {
            intercept: mean_y - slope * mean_x,
            slope,
            residual: 0.0,
        };
        line.residual = points
            .iter()
            .map(|p| (p.1 - line.at(p.0)).abs())
            .fold(0.0, f64::max);
        line
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
