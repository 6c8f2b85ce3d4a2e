//! Smoothing of expert loads that arrive late, noisy and with gaps.
//!
//! Each expert's share of its layer is followed in logarithms by a bank of filters that differ in
//! how quickly they follow and whether they carry a trend on. The forecasts that each made some
//! reports ago are held against what is reported now, over all experts, and the filter with the
//! least error counts: so the smoothing fits the noise and the drift at hand. A run of errors in
//! one direction beyond the noise counts as a jump, after which the expert is followed anew.

/// Loads of one reporting interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Tokens routed to each expert, layer by layer; `None` where no report came.
    pub layers: Vec<Vec<Option<f32>>>,
}

/// How jumps are recognised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConfig {
    /// Cumulated error, in standard deviations, that counts as a jump.
    pub jump_deviations: f32,
    /// Error per sample, in standard deviations, that the cumulation leaves out.
    pub slack_deviations: f32,
    /// Error of one report that is assumed at first, as a fraction.
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
/// Gains of the filters' levels; each stands for one filter with and one without a trend.
const GAINS: [f32; FILTERS / 2] = [0.015, 0.03, 0.06, 0.12, 0.25, 0.5];
/// The filter that counts until there is experience.
const INITIAL_FILTER: usize = 3;
/// Gain of a trend, relative to the square of the gain of its level: critically damped.
const TREND_GAIN_FACTOR: f32 = 0.25;
/// Reports by which forecasts look ahead: their lag and the time until a map is in force.
const FORECAST_HORIZON: usize = 3;
/// Reports of an expert before its forecasts are judged.
const WARM_UP_SAMPLES: u16 = 10;
/// Least weight of a new interval in the mean errors.
const MIN_ERROR_GAIN: f32 = 0.005;
/// Errors beyond so many standard deviations are clipped where they are judged.
const MAX_DEVIATIONS: f32 = 3.5;
/// Smallest share that is told from none.
const MIN_SHARE: f32 = 1e-6;
/// Least error of a report, so that standard deviations stay meaningful.
const MIN_REPORT_ERROR: f32 = 1e-3;

/// Estimates the share of each expert in the load of its layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    cfg: LoadConfig,
    selector: FilterSelector,
    layers: Vec<Vec<ExpertTracker>>,
}

impl LoadEstimator {
    /// Starts with all experts equal.
    #[must_use]
    pub fn new(cfg: LoadConfig, layers: usize, experts: usize) -> Self {
        let tracker = ExpertTracker::new((1.0 / experts as f32).ln());
        Self {
            selector: FilterSelector::new(cfg.initial_error),
            cfg,
            layers: vec![vec![tracker; experts]; layers],
        }
    }

    /// Takes in the reports of one interval. Experts without a report keep their estimate.
    pub fn observe(&mut self, sample: &LoadSample) {
        let mut errors = IntervalErrors::default();
        for (trackers, loads) in self.layers.iter_mut().zip(&sample.layers) {
            observe_layer(&self.cfg, &self.selector, &mut errors, trackers, loads);
        }
        self.selector.update(&errors);
    }

    /// Forecast shares of the experts of a layer; they sum to one.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f32> {
        let best = self.selector.best;
        let trackers = self.layers[layer].iter();
        let mut shares: Vec<f32> = trackers.map(|l| l.forecast(best).exp()).collect();
        let total: f32 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Root mean square of the errors of forecasts against single reports, as a fraction.
    #[must_use]
    pub fn forecast_error(&self) -> f32 {
        self.selector.forecast_errors[self.selector.best].sqrt()
    }
}

/// Mean squared errors of all filters, and which filter counts.
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

    /// Standard deviation of a report from the estimate before it.
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
    forecasts: [f32; FILTERS],
    report: f32,
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

/// Factor from reported loads to shares, judged by the experts that were reported.
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

/// Follows the load of one expert in logarithms, with all filters.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ExpertTracker {
    log_shares: [f32; FILTERS],
    trends: [f32; FILTERS],
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

    /// Lets one interval pass.
    fn advance(&mut self) {
        for (log, trend) in self.log_shares.iter_mut().zip(self.trends) {
            *log += trend;
        }
    }

    /// Holds the forecasts for this interval against the report.
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

    /// Stores the forecasts for the interval that is as far ahead as the ring is long.
    fn store_forecasts(&mut self, slot: usize) {
        for filter in 0..FILTERS {
            self.forecasts[slot][filter] = self.forecast(filter);
        }
    }

    /// Starts anew from the reports of the run.
    fn restart_from(&mut self, run: ErrorRun) {
        *self = Self::new(run.sum / f32::from(run.len));
        self.samples = run.len;
    }
}

/// A run of errors in one direction, and the reports in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ErrorRun {
    cumulated: f32,
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
