//! Estimates expert loads from reports that arrive late, noisy and with gaps.
//!
//! A bank of filters smooths the logarithm of each expert's share of its layer. The filters differ
//! in how fast they follow and in whether they extrapolate a trend. Forecasts that each filter made
//! some reports ago are compared with the current report, over all experts, and the filter with the
//! smallest error provides the estimate: so the smoothing adapts to noise and drift. A run of
//! errors in one direction beyond the noise counts as a jump, after which the expert's filters
//! restart from the reports of that run.

/// Reported loads of one interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Tokens routed to each expert, by layer; `None` if no report arrived.
    pub layers: Vec<Vec<Option<f32>>>,
}

/// Settings of a [`LoadEstimator`]: how jumps are detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConfig {
    /// Cumulative error that counts as a jump, in standard deviations.
    pub jump_deviations: f32,
    /// Error of each sample that is not accumulated, in standard deviations.
    pub slack_deviations: f32,
    /// Initial estimate of a report's error, as a fraction.
    pub initial_error: f32,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            jump_deviations: 6.0,
            slack_deviations: 1.0,
            initial_error: 0.1,
        }
    }
}

/// Number of filters.
const FILTERS: usize = 12;
/// Gains of the filters. Each is used by one filter without and one with a trend.
const GAINS: [f32; FILTERS / 2] = [0.015, 0.03, 0.06, 0.12, 0.25, 0.5];
/// Index of the filter that provides the estimate until errors have been measured.
const INITIAL_FILTER: usize = 3;
/// Gain of a trend, as a multiple of its filter's squared gain. 1/4 is critically damped.
const TREND_GAIN_FACTOR: f32 = 0.25;
/// Number of reports that forecasts look ahead: the lag of reports plus the time until a new map
/// is in force.
const FORECAST_HORIZON: usize = 3;
/// Number of reports of an expert after which its forecasts count in the comparison of filters.
const WARM_UP_SAMPLES: u16 = 10;
/// Minimum weight of a new interval in the mean errors.
const MIN_ERROR_GAIN: f32 = 0.005;
/// Errors are clamped to this many standard deviations in the comparison of filters.
const MAX_DEVIATIONS: f32 = 3.5;
/// Lower bound of shares, since zero has no logarithm.
const MIN_SHARE: f32 = 1e-6;
/// Lower bound of the standard deviation of reports, so that errors can be divided by it.
const MIN_REPORT_ERROR: f32 = 1e-3;

/// Estimates the share of each expert in the load of its layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    cfg: LoadConfig,
    selector: FilterSelector,
    layers: Vec<Vec<ExpertTracker>>,
}

impl LoadEstimator {
    /// Creates an estimator with equal shares for all experts.
    #[must_use]
    pub fn new(cfg: LoadConfig, layers: usize, experts: usize) -> Self {
        let tracker = ExpertTracker::new((1.0 / experts as f32).ln());
        Self {
            selector: FilterSelector::new(cfg.initial_error),
            cfg,
            layers: vec![vec![tracker; experts]; layers],
        }
    }

    /// Adds the reports of one interval. Experts without a report keep their estimate.
    pub fn observe(&mut self, sample: &LoadSample) {
        let mut errors = IntervalErrors::default();
        for (trackers, loads) in self.layers.iter_mut().zip(&sample.layers) {
            observe_layer(&self.cfg, &self.selector, &mut errors, trackers, loads);
        }
        self.selector.update(&errors);
    }

    /// Forecast shares of the experts of a layer. They sum to one.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f32> {
        let best = self.selector.best;
        let trackers = self.layers[layer].iter();
        let mut shares: Vec<f32> = trackers.map(|l| l.forecast(best).exp()).collect();
        let total: f32 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Root mean square error of forecasts against single reports, as a fraction.
    #[must_use]
    pub fn forecast_error(&self) -> f32 {
        self.selector.forecast_errors[self.selector.best].sqrt()
    }
}

/// Mean squared errors of all filters, and the filter with the smallest error.
#[derive(Clone, Debug, PartialEq)]
struct FilterSelector {
    forecast_errors: [f32; FILTERS],
    report_error: f32,
    intervals: usize,
    best: usize,
}

impl FilterSelector {
    fn new(initial_error: f32) -> Self {
        Self {
            forecast_errors: [initial_error.powi(2); FILTERS],
            report_error: initial_error.powi(2),
            intervals: 0,
            best: INITIAL_FILTER,
        }
    }

    /// Standard deviation of reports from the estimate before them.
    fn deviation(&self) -> f32 {
        self.report_error.sqrt().max(MIN_REPORT_ERROR)
    }

    fn update(&mut self, errors: &IntervalErrors) {
        self.intervals += 1;
        if errors.compared == 0.0 {
            return;
        }
        let gain = (1.0 / self.intervals as f32).max(MIN_ERROR_GAIN);
        self.report_error += gain * (errors.report / errors.compared - self.report_error);
        for (mean, sum) in self.forecast_errors.iter_mut().zip(errors.forecasts) {
            *mean += gain * (sum / errors.compared - *mean);
        }
        let order =
            |a: &usize, b: &usize| self.forecast_errors[*a].total_cmp(&self.forecast_errors[*b]);
        self.best = (0..FILTERS).min_by(order).unwrap_or(INITIAL_FILTER);
    }
}

/// Sums of squared errors over all experts in one interval.
#[derive(Debug, Default)]
struct IntervalErrors {
    /// Errors of the forecasts that each filter made [`FORECAST_HORIZON`] reports ago.
    forecasts: [f32; FILTERS],
    /// Errors of the best filter's current estimates.
    report: f32,
    /// Number of experts that were compared.
    compared: f32,
}

fn observe_layer(
    cfg: &LoadConfig,
    selector: &FilterSelector,
    errors: &mut IntervalErrors,
    trackers: &mut [ExpertTracker],
    loads: &[Option<f32>],
) {
    let factor = share_factor(selector.best, trackers, loads);
    let slot = selector.intervals % FORECAST_HORIZON;
    for (tracker, load) in trackers.iter_mut().zip(loads) {
        tracker.advance();
        if let (Some(load), Some(factor)) = (load, factor) {
            let observed = (load.max(0.0) * factor).max(MIN_SHARE).ln();
            tracker.add_errors(selector, errors, slot, observed);
            tracker.observe(cfg, selector, observed);
        }
        tracker.store_forecasts(slot);
    }
}

/// Factor from reported loads to shares. Experts without a report are assumed to have their
/// estimated share. `None` if nothing usable was reported.
fn share_factor(filter: usize, trackers: &[ExpertTracker], loads: &[Option<f32>]) -> Option<f32> {
    let (mut reported, mut expected, mut total) = (0.0, 0.0, 0.0);
    for (tracker, load) in trackers.iter().zip(loads) {
        let share = tracker.log_shares[filter].exp();
        total += share;
        if let Some(load) = load {
            expected += share;
            reported += load;
        }
    }
    let usable = reported > 0.0 && f32::is_finite(reported);
    usable.then(|| expected / f32::max(total, MIN_SHARE) / reported)
}

/// Filters of one expert.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ExpertTracker {
    log_shares: [f32; FILTERS],
    trends: [f32; FILTERS],
    /// Ring buffer of the newest forecasts.
    forecasts: [[f32; FILTERS]; FORECAST_HORIZON],
    samples: u16,
    up: ErrorRun,
    down: ErrorRun,
}

impl ExpertTracker {
    fn new(log: f32) -> Self {
        Self {
            log_shares: [log; FILTERS],
            trends: [0.0; FILTERS],
            forecasts: [[log; FILTERS]; FORECAST_HORIZON],
            samples: 0,
            up: ErrorRun::default(),
            down: ErrorRun::default(),
        }
    }

    fn forecast(&self, filter: usize) -> f32 {
        self.log_shares[filter] + FORECAST_HORIZON as f32 * self.trends[filter]
    }

    /// Extrapolates the trends by one interval.
    fn advance(&mut self) {
        for (log, trend) in self.log_shares.iter_mut().zip(self.trends) {
            *log += trend;
        }
    }

    /// Adds the errors of the forecasts for this interval to the sums.
    fn add_errors(
        &self,
        selector: &FilterSelector,
        errors: &mut IntervalErrors,
        slot: usize,
        observed: f32,
    ) {
        if self.samples < WARM_UP_SAMPLES {
            return;
        }
        let max_error = MAX_DEVIATIONS * selector.deviation();
        let square = |error: f32| error.clamp(-max_error, max_error).powi(2);
        errors.compared += 1.0;
        errors.report += square(observed - self.log_shares[selector.best]);
        for (sum, forecast) in errors.forecasts.iter_mut().zip(self.forecasts[slot]) {
            *sum += square(observed - forecast);
        }
    }

    fn observe(&mut self, cfg: &LoadConfig, selector: &FilterSelector, observed: f32) {
        let error = observed - self.log_shares[selector.best];
        let deviations = error / selector.deviation();
        self.up.add(observed, deviations, cfg.slack_deviations);
        self.down.add(observed, -deviations, cfg.slack_deviations);
        for run in [self.up, self.down] {
            if run.cumulated > cfg.jump_deviations {
                return self.restart_from(run);
            }
        }
        self.samples = self.samples.saturating_add(1);
        let min_gain = 1.0 / f32::from(self.samples);
        for (i, gain) in GAINS.iter().enumerate() {
            let gain = gain.max(min_gain);
            for filter in [2 * i, 2 * i + 1] {
                let error = observed - self.log_shares[filter];
                self.log_shares[filter] += gain * error;
                if filter % 2 == 1 && self.samples > WARM_UP_SAMPLES {
                    self.trends[filter] += TREND_GAIN_FACTOR * gain * gain * error;
                }
            }
        }
    }

    /// Stores the forecasts for the interval [`FORECAST_HORIZON`] ahead.
    fn store_forecasts(&mut self, slot: usize) {
        for filter in 0..FILTERS {
            self.forecasts[slot][filter] = self.forecast(filter);
        }
    }

    /// Restarts all filters from the mean of a run's reports.
    fn restart_from(&mut self, run: ErrorRun) {
        *self = Self::new(run.sum / f32::from(run.len));
        self.samples = run.len;
    }
}

/// A run of errors in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ErrorRun {
    /// Sum of the errors less the slack, in standard deviations.
    cumulated: f32,
    /// Sum of the reported log shares in the run.
    sum: f32,
    len: u16,
}

impl ErrorRun {
    fn add(&mut self, observed: f32, deviations: f32, slack: f32) {
        self.cumulated += deviations - slack;
        self.sum += observed;
        self.len += 1;
        if self.cumulated <= 0.0 {
            *self = Self::default();
        }
    }
}
