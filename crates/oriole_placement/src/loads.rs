//! Smoothing of expert loads that arrive late, noisy and with gaps.
//!
//! Each expert's share of its layer is followed in logarithms by a level whose gain adapts: small
//! while errors alternate in sign, large while they persist. A run of errors in one direction
//! beyond the noise counts as a jump and the level is set anew from what was seen since.

/// Loads of one reporting interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Tokens routed to each expert, layer by layer; `None` where no report came.
    pub layers: Vec<Vec<Option<f32>>>,
}

/// How quickly the estimate follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConfig {
    /// Gain while the demand is steady.
    pub steady_gain: f32,
    /// Weight of the newest error in the running mean of errors.
    pub error_gain: f32,
    /// Cumulated error, in standard deviations of the noise, that counts as a jump.
    pub jump_deviations: f32,
    /// Error per sample, in standard deviations, that the cumulation leaves out.
    pub slack_deviations: f32,
    /// Noise that is assumed before it has been observed, as a fraction.
    pub initial_noise: f32,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            steady_gain: 0.06,
            error_gain: 0.1,
            jump_deviations: 5.0,
            slack_deviations: 0.75,
            initial_noise: 0.1,
        }
    }
}

/// Follows the load of one expert in logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Level {
    log: f32,
    samples: u16,
    error: f32,
    up: Run,
    down: Run,
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

/// Estimates the share of each expert in the load of its layer.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEstimator {
    cfg: LoadConfig,
    layers: Vec<LayerEstimator>,
}

#[derive(Clone, Debug, PartialEq)]
struct LayerEstimator {
    levels: Vec<Level>,
    noise: f32,
}

impl LoadEstimator {
    /// Starts with all experts equal.
    #[must_use]
    pub fn new(cfg: LoadConfig, layers: usize, experts: usize) -> Self {
        let start = Level {
            log: (1.0 / experts as f32).ln(),
            ..Level::default()
        };
        let layer = LayerEstimator {
            levels: vec![start; experts],
            noise: cfg.initial_noise,
        };
        Self {
            cfg,
            layers: vec![layer; layers],
        }
    }

    /// Takes in the reports of one interval. Experts without a report keep their estimate.
    pub fn observe(&mut self, sample: &LoadSample) {
        for (layer, loads) in self.layers.iter_mut().zip(&sample.layers) {
            layer.observe(&self.cfg, loads);
        }
    }

    /// Estimated shares of the experts of a layer; they sum to one.
    #[must_use]
    pub fn shares(&self, layer: usize) -> Vec<f32> {
        let levels = &self.layers[layer].levels;
        let mut shares: Vec<f32> = levels.iter().map(|l| l.log.exp()).collect();
        let total: f32 = shares.iter().sum();
        shares.iter_mut().for_each(|s| *s /= total);
        shares
    }

    /// Estimated noise of one report of a layer, as a fraction.
    #[must_use]
    pub fn noise(&self, layer: usize) -> f32 {
        self.layers[layer].noise
    }
}

/// Smallest share that is told from none.
const MIN_SHARE: f32 = 1e-6;
/// Weight of a new interval in the noise of a layer.
const NOISE_GAIN: f32 = 0.02;
/// Least noise, so that standard deviations stay meaningful.
const MIN_NOISE: f32 = 0.005;

impl LayerEstimator {
    fn observe(&mut self, cfg: &LoadConfig, loads: &[Option<f32>]) {
        let Some(offset) = self.offset(loads) else {
            return;
        };
        let mut sum_squares = 0.0;
        let mut seen = 0;
        for (level, load) in self.levels.iter_mut().zip(loads) {
            let Some(load) = load else { continue };
            let value = load.max(0.0) * offset;
            let error = value.max(MIN_SHARE).ln() - level.log;
            let clipped = error.clamp(-3.0 * self.noise, 3.0 * self.noise);
            sum_squares += clipped * clipped;
            seen += 1;
            level.observe(cfg, error, self.noise);
        }
        if seen > 0 {
            let noise = (sum_squares / seen as f32).sqrt().max(MIN_NOISE);
            self.noise += NOISE_GAIN * (noise - self.noise);
        }
    }

    /// Factor from reported loads to shares, judged by the experts that were reported.
    fn offset(&self, loads: &[Option<f32>]) -> Option<f32> {
        let pairs = || self.levels.iter().zip(loads);
        let reported: f32 = pairs().filter_map(|(_, l)| *l).sum();
        let total: f32 = self.levels.iter().map(|l| l.log.exp()).sum();
        let expected: f32 = pairs()
            .filter(|(_, l)| l.is_some())
            .map(|(level, _)| level.log.exp())
            .sum();
        (reported > 0.0 && reported.is_finite()).then(|| expected / total.max(MIN_SHARE) / reported)
    }
}

impl Level {
    fn observe(&mut self, cfg: &LoadConfig, error: f32, noise: f32) {
        self.samples = self.samples.saturating_add(1);
        let deviations = error / noise;
        self.up.add(error, deviations, cfg.slack_deviations);
        self.down.add(error, -deviations, cfg.slack_deviations);
        self.error += cfg.error_gain * (error - self.error);
        for run in [self.up, self.down] {
            if run.cumulated > cfg.jump_deviations {
                return self.jump(run);
            }
        }
        self.follow(self.gain(cfg, noise) * error);
    }

    /// The gain: as in a mean of all samples at first, then steady, larger while errors persist.
    fn gain(&self, cfg: &LoadConfig, noise: f32) -> f32 {
        let first = 1.0 / f32::from(self.samples);
        let persistent = (self.error / noise).powi(2);
        let adapted = cfg.steady_gain * (1.0 + persistent);
        first.max(adapted).min(1.0)
    }

    fn follow(&mut self, step: f32) {
        self.log += step;
    }

    fn jump(&mut self, run: Run) {
        *self = Self {
            log: self.log + run.sum / f32::from(run.len),
            samples: run.len,
            ..Self::default()
        };
    }
}
