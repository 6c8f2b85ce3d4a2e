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
const FIRST_FILTER: usize = 3;
/// Gain of a trend, relative to the square of the gain of its level: critically damped.
const TREND_GAIN: f32 = 0.25;
/// Reports by which forecasts look ahead: their lag and the time until a map is in force.
const LOOK_AHEAD: usize = 3;
/// Reports of an expert before its forecasts are judged.
const WARM_SAMPLES: u16 = 10;
/// Least weight of a new interval in the mean errors.
const ERROR_GAIN: f32 = 0.005;
/// Errors beyond so many standard deviations are clipped where they are judged.
const CLIP_DEVIATIONS: f32 = 3.5;
/// Smallest share that is told from none.
const MIN_SHARE: f32 = 1e-6;
/// Least error of a report, so that standard deviations stay meaningful.
const MIN_ERROR: f32 = 1e-3;

/// Estimates the share of each expert in the load of its layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    cfg: LoadConfig,
    judge: Judge,
    layers: Vec<Vec<Level>>,
}

impl LoadEstimator {
    /// Starts with all experts equal.
    #[must_use]
    pub fn new(cfg: LoadConfig, layers: usize, experts: usize) -> Self {
        let level = Level::new((1.0 / experts as f32).ln());
        Self {
            judge: Judge::new(cfg.initial_error),
            cfg,
            layers: vec![vec![level; experts]; layers],
        }
    }

    /// Takes in the reports of one interval. Experts without a report keep their estimate.
    pub fn observe(&mut self, sample: &LoadSample) {
        let mut errors = Errors::default();
        for (levels, loads) in self.layers.iter_mut().zip(&sample.layers) {
            observe_layer(&self.cfg, &self.judge, &mut errors, levels, loads);
        }
        self.judge.learn(&errors);
    }

    /// Forecast shares of the experts of a layer; they sum to one.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f32> {
        let best = self.judge.best;
        let levels = self.layers[layer].iter();
        let mut shares: Vec<f32> = levels.map(|l| l.forecast(best).exp()).collect();
        let total: f32 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Root mean square of the errors of forecasts against single reports, as a fraction.
    #[must_use]
    pub fn forecast_error(&self) -> f32 {
        self.judge.forecasts[self.judge.best].sqrt()
    }
}

/// Mean squared errors of all filters, and which filter counts.
#[derive(Clone, Debug, PartialEq)]
struct Judge {
    forecasts: [f32; FILTERS],
    report: f32,
    intervals: usize,
    best: usize,
}

impl Judge {
    fn new(initial_error: f32) -> Self {
        Self {
            forecasts: [initial_error.powi(2); FILTERS],
            report: initial_error.powi(2),
            intervals: 0,
            best: FIRST_FILTER,
        }
    }

    /// Standard deviation of a report from the estimate before it.
    fn deviation(&self) -> f32 {
        self.report.sqrt().max(MIN_ERROR)
    }

    fn learn(&mut self, errors: &Errors) {
        self.intervals += 1;
        if errors.judged == 0.0 {
            return;
        }
        let gain = (1.0 / self.intervals as f32).max(ERROR_GAIN);
        self.report += gain * (errors.report / errors.judged - self.report);
        for (mean, sum) in self.forecasts.iter_mut().zip(errors.forecasts) {
            *mean += gain * (sum / errors.judged - *mean);
        }
        let order = |a: &usize, b: &usize| self.forecasts[*a].total_cmp(&self.forecasts[*b]);
        self.best = (0..FILTERS).min_by(order).unwrap_or(FIRST_FILTER);
    }
}

/// Sums of squared errors over all experts in one interval.
#[derive(Debug, Default)]
struct Errors {
    forecasts: [f32; FILTERS],
    report: f32,
    judged: f32,
}

fn observe_layer(
    cfg: &LoadConfig,
    judge: &Judge,
    errors: &mut Errors,
    levels: &mut [Level],
    loads: &[Option<f32>],
) {
    let factor = share_factor(judge.best, levels, loads);
    let turn = judge.intervals % LOOK_AHEAD;
    for (level, load) in levels.iter_mut().zip(loads) {
        level.pass();
        if let (Some(load), Some(factor)) = (load, factor) {
            let seen = (load.max(0.0) * factor).max(MIN_SHARE).ln();
            level.judge(judge, errors, turn, seen);
            level.observe(cfg, judge, seen);
        }
        level.remember(turn);
    }
}

/// Factor from reported loads to shares, judged by the experts that were reported.
fn share_factor(filter: usize, levels: &[Level], loads: &[Option<f32>]) -> Option<f32> {
    let (mut reported, mut expected, mut total) = (0.0, 0.0, 0.0);
    for (level, load) in levels.iter().zip(loads) {
        let share = level.logs[filter].exp();
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
struct Level {
    logs: [f32; FILTERS],
    trends: [f32; FILTERS],
    forecasts: [[f32; FILTERS]; LOOK_AHEAD],
    samples: u16,
    up: Run,
    down: Run,
}

impl Level {
    fn new(log: f32) -> Self {
        Self {
            logs: [log; FILTERS],
            trends: [0.0; FILTERS],
            forecasts: [[log; FILTERS]; LOOK_AHEAD],
            samples: 0,
            up: Run::default(),
            down: Run::default(),
        }
    }

    fn forecast(&self, filter: usize) -> f32 {
        self.logs[filter] + LOOK_AHEAD as f32 * self.trends[filter]
    }

    /// Lets one interval pass.
    fn pass(&mut self) {
        for (log, trend) in self.logs.iter_mut().zip(self.trends) {
            *log += trend;
        }
    }

    /// Holds the forecasts for this interval against the report.
    fn judge(&self, judge: &Judge, errors: &mut Errors, turn: usize, seen: f32) {
        if self.samples < WARM_SAMPLES {
            return;
        }
        let limit = CLIP_DEVIATIONS * judge.deviation();
        let square = |error: f32| error.clamp(-limit, limit).powi(2);
        errors.judged += 1.0;
        errors.report += square(seen - self.logs[judge.best]);
        for (sum, forecast) in errors.forecasts.iter_mut().zip(self.forecasts[turn]) {
            *sum += square(seen - forecast);
        }
    }

    fn observe(&mut self, cfg: &LoadConfig, judge: &Judge, seen: f32) {
        let error = seen - self.logs[judge.best];
        let deviations = error / judge.deviation();
        self.up.add(seen, deviations, cfg.slack_deviations);
        self.down.add(seen, -deviations, cfg.slack_deviations);
        for run in [self.up, self.down] {
            if run.cumulated > cfg.jump_deviations {
                return self.jump(run);
            }
        }
        self.samples = self.samples.saturating_add(1);
        let least = 1.0 / f32::from(self.samples);
        for (i, gain) in GAINS.iter().enumerate() {
            let gain = gain.max(least);
            for filter in [2 * i, 2 * i + 1] {
                let error = seen - self.logs[filter];
                self.logs[filter] += gain * error;
                if filter % 2 == 1 && self.samples > WARM_SAMPLES {
                    self.trends[filter] += TREND_GAIN * gain * gain * error;
                }
            }
        }
    }

    /// Stores the forecasts for the interval that is as far ahead as the ring is long.
    fn remember(&mut self, turn: usize) {
        for filter in 0..FILTERS {
            self.forecasts[turn][filter] = self.forecast(filter);
        }
    }

    /// Starts anew from the reports of the run.
    fn jump(&mut self, run: Run) {
        *self = Self::new(run.sum / f32::from(run.len));
        self.samples = run.len;
    }
}

/// A run of errors in one direction, and the reports in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Run {
    cumulated: f32,
    sum: f32,
    len: u16,
}

impl Run {
    fn add(&mut self, seen: f32, deviations: f32, slack: f32) {
        self.cumulated += deviations - slack;
        self.sum += seen;
        self.len += 1;
        if self.cumulated <= 0.0 {
            *self = Self::default();
        }
    }
}
