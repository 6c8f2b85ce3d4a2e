//! Smoothing of expert loads that arrive late, noisy and with gaps.
//!
//! Each expert's share of its layer is followed in logarithms by a Kalman filter for a random walk
//! seen through noise. How fast the walk is and how strong the noise is, the filter learns from
//! the reports: the difference of two successive reports has the variance of the walk plus twice
//! that of the noise, and its covariance with the next difference is minus that of the noise. A run
//! of errors in one direction beyond the noise counts as a jump and opens the filter.

/// Loads of one reporting interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Tokens routed to each expert, layer by layer; `None` where no report came.
    pub layers: Vec<Vec<Option<f32>>>,
}

/// How quickly the estimate follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConfig {
    /// Cumulated error, in standard deviations, that counts as a jump.
    pub jump_deviations: f32,
    /// Error per sample, in standard deviations, that the cumulation leaves out.
    pub slack_deviations: f32,
    /// Noise of one report that is assumed at first, as a fraction.
    pub initial_noise: f32,
    /// Drift between two reports that is assumed at first, as a fraction.
    pub initial_drift: f32,
    /// Gain of the trend, relative to the square of the gain of the level.
    pub trend_gain: f32,
    /// Reports by which the estimate looks ahead: their lag and the time until a map is in force.
    pub look_ahead: f32,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            jump_deviations: 6.0,
            slack_deviations: 1.0,
            initial_noise: 0.1,
            initial_drift: 0.01,
            trend_gain: 0.25,
            look_ahead: 3.0,
        }
    }
}

/// Estimates the share of each expert in the load of its layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    cfg: LoadConfig,
    spread: Spread,
    layers: Vec<Vec<Level>>,
}

impl LoadEstimator {
    /// Starts with all experts equal.
    #[must_use]
    pub fn new(cfg: LoadConfig, layers: usize, experts: usize) -> Self {
        let start = Level {
            log: (1.0 / experts as f32).ln(),
            variance: UNKNOWN_VARIANCE,
            ..Level::default()
        };
        Self {
            cfg,
            spread: Spread::new(&cfg),
            layers: vec![vec![start; experts]; layers],
        }
    }

    /// Takes in the reports of one interval. Experts without a report keep their estimate.
    pub fn observe(&mut self, sample: &LoadSample) {
        let mut sums = DifferenceSums::default();
        for (levels, loads) in self.layers.iter_mut().zip(&sample.layers) {
            observe_layer(&self.cfg, &self.spread, &mut sums, levels, loads);
        }
        sums.close(&mut self.spread);
    }

    /// Estimated shares of the experts of a layer; they sum to one.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f32> {
        let levels = &self.layers[layer];
        let mut shares: Vec<f32> = levels
            .iter()
            .map(|l| l.ahead(self.cfg.look_ahead).exp())
            .collect();
        let total: f32 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Estimated noise of one report, as a fraction.
    #[must_use]
    pub fn noise(&self) -> f32 {
        self.spread.noise().sqrt()
    }

    /// Estimated drift of one expert between two reports, as a fraction.
    #[must_use]
    pub fn drift(&self) -> f32 {
        self.spread.drift().sqrt()
    }
}

/// Smallest share that is told from none.
const MIN_SHARE: f32 = 1e-6;
/// Variance of a level that nothing is known about.
const UNKNOWN_VARIANCE: f32 = 4.0;
/// Least variance of noise, so that standard deviations stay meaningful.
const MIN_NOISE_VARIANCE: f32 = 1e-6;
/// Least part of the noise variance that the drift is taken to have.
const MIN_DRIFT_PART: f32 = 1e-3;
/// Least weight of a new interval in variance and covariance of differences.
const SPREAD_GAIN: f32 = 0.002;
/// Intervals that the assumptions made at first weigh as much as.
const PRIOR_INTERVALS: f32 = 20.0;
/// Differences beyond so many standard deviations are clipped.
const CLIP_DEVIATIONS: f32 = 3.5;

/// Variance and covariance of successive differences, over all experts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Spread {
    variance: f32,
    covariance: f32,
    intervals: u32,
}

impl Spread {
    fn new(cfg: &LoadConfig) -> Self {
        let noise = cfg.initial_noise.powi(2);
        Self {
            variance: cfg.initial_drift.powi(2) + 2.0 * noise,
            covariance: -noise,
            intervals: 0,
        }
    }

    fn noise(&self) -> f32 {
        (-self.covariance).max(MIN_NOISE_VARIANCE)
    }

    fn drift(&self) -> f32 {
        let drift = self.variance + 2.0 * self.covariance;
        drift.max(MIN_DRIFT_PART * self.noise())
    }

    fn clip(&self, difference: f32) -> f32 {
        let limit = CLIP_DEVIATIONS * self.variance.sqrt();
        difference.clamp(-limit, limit)
    }

    fn add(&mut self, variance: f32, covariance: f32) {
        self.intervals += 1;
        let gain = (1.0 / (PRIOR_INTERVALS + self.intervals as f32)).max(SPREAD_GAIN);
        self.variance += gain * (variance - self.variance);
        self.covariance += gain * (covariance - self.covariance);
    }
}

fn observe_layer(
    cfg: &LoadConfig,
    spread: &Spread,
    sums: &mut DifferenceSums,
    levels: &mut [Level],
    loads: &[Option<f32>],
) {
    let factor = share_factor(levels, loads);
    let (noise, drift) = (spread.noise(), spread.drift());
    for (level, load) in levels.iter_mut().zip(loads) {
        level.variance += drift;
        level.log += level.trend;
        let (Some(load), Some(factor)) = (load, factor) else {
            level.last = None;
            continue;
        };
        let seen = (load.max(0.0) * factor).max(MIN_SHARE).ln();
        sums.add(spread, level, seen);
        level.observe(cfg, seen, noise);
    }
}

/// Factor from reported loads to shares, judged by the experts that were reported.
fn share_factor(levels: &[Level], loads: &[Option<f32>]) -> Option<f32> {
    let (mut reported, mut expected, mut total) = (0.0, 0.0, 0.0);
    for (level, load) in levels.iter().zip(loads) {
        let share = level.log.exp();
        total += share;
        if let Some(load) = load {
            expected += share;
            reported += load;
        }
    }
    let usable = reported > 0.0 && f32::is_finite(reported);
    usable.then(|| expected / f32::max(total, MIN_SHARE) / reported)
}

/// Sums over all experts in one interval.
#[derive(Debug, Default)]
struct DifferenceSums {
    squares: f32,
    square_count: f32,
    products: f32,
    product_count: f32,
}

impl DifferenceSums {
    fn add(&mut self, spread: &Spread, level: &Level, seen: f32) {
        let Some(last) = level.last else { return };
        let difference = spread.clip(seen - last.seen);
        self.squares += difference * difference;
        self.square_count += 1.0;
        if let Some(before) = last.difference {
            self.products += difference * spread.clip(before);
            self.product_count += 1.0;
        }
    }

    fn close(&self, spread: &mut Spread) {
        if self.product_count > 0.0 {
            let variance = self.squares / self.square_count;
            spread.add(variance, self.products / self.product_count);
        }
    }
}

/// The report before this one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Last {
    seen: f32,
    difference: Option<f32>,
}

/// Follows the load of one expert in logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Level {
    log: f32,
    trend: f32,
    variance: f32,
    last: Option<Last>,
    up: Run,
    down: Run,
}

impl Level {
    fn observe(&mut self, cfg: &LoadConfig, seen: f32, noise: f32) {
        let difference = self.last.map(|l| seen - l.seen);
        self.last = Some(Last { seen, difference });
        let error = seen - self.log;
        let deviations = error / (self.variance + noise).sqrt();
        self.up.add(error, deviations, cfg.slack_deviations);
        self.down.add(error, -deviations, cfg.slack_deviations);
        for run in [self.up, self.down] {
            if run.cumulated > cfg.jump_deviations {
                return self.jump(run, noise);
            }
        }
        let gain = self.variance / (self.variance + noise);
        self.log += gain * error;
        self.trend += cfg.trend_gain * gain * gain * error;
        self.variance *= 1.0 - gain;
    }

    /// The level after so many more reports.
    fn ahead(&self, reports: f32) -> f32 {
        self.log + reports * self.trend
    }

    /// Starts anew from the reports of the run.
    fn jump(&mut self, run: Run, noise: f32) {
        self.log += run.sum / f32::from(run.len);
        self.trend = 0.0;
        self.variance = noise / f32::from(run.len);
        self.up = Run::default();
        self.down = Run::default();
    }
}

/// A run of errors in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Run {
    cumulated: f32,
    sum: f32,
    len: u16,
}

impl Run {
    fn add(&mut self, error: f32, deviations: f32, slack: f32) {
        self.cumulated += deviations - slack;
        self.sum += error;
        self.len += 1;
        if self.cumulated <= 0.0 {
            *self = Self::default();
        }
    }
}
