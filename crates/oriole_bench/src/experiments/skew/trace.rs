//! A day of demand for the experts of a group, with faults of ranks and reports.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, StandardNormal};

use oriole_placement::map::FULL_SHARE;
use oriole_placement::prelude::{ExpertMap, GroupShape, LayerMap, LoadSample};

/// Length of a tick in seconds: the interval at which ranks report.
pub const TICK_S: f64 = 10.0;
/// Length of a day in seconds.
pub const DAY_S: f64 = 86_400.0;

/// Standard deviation of the logarithm of the popularity of experts.
const POPULARITY_SPREAD: f32 = 0.8;

/// How the popularity of one expert drifts.
#[derive(Clone, Copy, Debug)]
pub struct Drift {
    /// Standard deviation of the slow oscillation of the logarithm.
    pub wave_spread: f32,
    /// Standard deviation of the random walk of the logarithm.
    pub walk_spread: f32,
    /// Correlation time of the random walk, in seconds.
    pub walk_time_s: f64,
}

impl Drift {
    /// A slow oscillation with a small random walk.
    pub const SMOOTH: Self = Self {
        wave_spread: 0.5,
        walk_spread: 0.15,
        walk_time_s: 3600.0,
    };

    /// A random walk only, which is unpredictable.
    pub const ROUGH: Self = Self {
        wave_spread: 0.0,
        walk_spread: 0.5,
        walk_time_s: 3.0 * 3600.0,
    };
}

/// Shortest and longest period of the slow oscillation, in seconds.
const DRIFT_PERIODS_S: std::ops::Range<f64> = 2.0 * 3600.0..8.0 * 3600.0;
/// Share of the experts whose popularity is redrawn at the sudden jump.
const JUMP_SHARE: f64 = 0.3;
/// Factor by which the load of the hot expert grows.
const HOT_FACTOR: f32 = 6.0;
/// Relative standard deviation of the unpredictable variation of the load of an expert per tick.
const TICK_SPREAD: f32 = 0.01;
/// Standard deviation of the noise of a slot's reported load, in logarithms.
const REPORT_SPREAD: f32 = 0.1;
/// Standard deviation of the noise of a rank's reported speed, in logarithms.
const SPEED_SPREAD: f32 = 0.03;
/// Ticks by which reports lag.
pub const REPORT_LAG_TICKS: usize = 2;
/// Probability that a rank's report of a tick is lost.
const REPORT_LOSS_PROBABILITY: f64 = 0.05;
/// Smallest share of an expert's load that must be reported to infer the rest.
const MIN_REPORTED_SHARE: f32 = 0.1;
/// Relative speed of the straggler.
const STRAGGLER_SPEED: f32 = 0.6;
/// Relative speed of the stalled rank.
const STALL_SPEED: f32 = 0.1;

/// A part of the day, in fractions of a day.
#[derive(Clone, Copy, Debug)]
struct DayWindow {
    from: f64,
    to: f64,
}

impl DayWindow {
    fn contains(self, day_fraction: f64) -> bool {
        (self.from..self.to).contains(&day_fraction)
    }
}

/// Time of the jump, as a fraction of the day.
const JUMP_AT: f64 = 0.30;
/// Half an hour with a hot expert.
const HOT_WINDOW: DayWindow = DayWindow {
    from: 0.55,
    to: 0.55 + 1800.0 / DAY_S,
};
/// Forty minutes with a straggler.
const STRAGGLER_WINDOW: DayWindow = DayWindow {
    from: 0.75,
    to: 0.75 + 2400.0 / DAY_S,
};
/// One tick with a stalled rank.
const STALL_WINDOW: DayWindow = DayWindow {
    from: 0.85,
    to: 0.85 + TICK_S / DAY_S,
};
/// Three minutes without any reports.
const OUTAGE_WINDOW: DayWindow = DayWindow {
    from: 0.45,
    to: 0.45 + 180.0 / DAY_S,
};

/// Actual loads and speeds of one tick.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// Load of each expert, layer by layer.
    pub loads: Vec<Vec<f32>>,
    /// Relative speed of each rank.
    pub speeds: Vec<f32>,
    /// Whether one rank was a straggler.
    pub straggler: bool,
}

/// Reports of the ranks about one tick.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    loads: Vec<Vec<f32>>,
    noise: Vec<Vec<f32>>,
    speeds: Vec<f32>,
    lost: Vec<bool>,
}

impl Reports {
    /// Infers the loads of the experts from the reported loads of the slots.
    pub fn loads(&self, map: &ExpertMap) -> LoadSample {
        let layers = map.layers.iter().enumerate();
        LoadSample {
            layers: layers.map(|(l, layer)| self.layer(l, layer, map)).collect(),
        }
    }

    fn layer(&self, l: usize, layer: &LayerMap, map: &ExpertMap) -> Vec<Option<f32>> {
        let mut sums = vec![(0.0f32, 0.0f32); self.loads[l].len()];
        for (slot, expert) in layer.experts.iter().enumerate() {
            if self.lost[slot / map.slots_per_rank] {
                continue;
            }
            let e = usize::from(*expert);
            let share = f32::from(layer.shares[slot]) / f32::from(FULL_SHARE);
            sums[e].0 += share * self.loads[l][e] * self.noise[l][slot];
            sums[e].1 += share;
        }
        let infer_load = |(reported_load, share): (f32, f32)| {
            (share >= MIN_REPORTED_SHARE).then(|| reported_load / share)
        };
        sums.into_iter().map(infer_load).collect()
    }

    /// Returns the reported speeds by rank.
    pub fn speeds(&self) -> impl Iterator<Item = (usize, f32)> + '_ {
        let all = self.speeds.iter().copied().enumerate();
        all.filter(|(rank, _)| !self.lost[*rank])
    }
}

/// Popularity of one expert of one layer with one user, in logarithms.
struct Popularity {
    base: f32,
    drift: Oscillation,
    walk: f32,
}

impl Popularity {
    fn draw(drift: &Drift, rng: &mut ChaCha8Rng) -> Self {
        Self {
            base: POPULARITY_SPREAD * normal(rng),
            drift: Oscillation::draw(drift, rng),
            walk: drift.walk_spread * normal(rng),
        }
    }

    fn weight(&self) -> f32 {
        (self.base + self.drift.sine + self.walk).exp()
    }
}

/// A slow oscillation, advanced by rotation.
struct Oscillation {
    sine: f32,
    cosine: f32,
    rotation: (f32, f32),
}

impl Oscillation {
    fn draw(drift: &Drift, rng: &mut ChaCha8Rng) -> Self {
        let phase = rng.random_range(0.0..std::f32::consts::TAU);
        let rotation = std::f64::consts::TAU * TICK_S / rng.random_range(DRIFT_PERIODS_S);
        let amplitude = drift.wave_spread * std::f32::consts::SQRT_2;
        Self {
            sine: amplitude * phase.sin(),
            cosine: amplitude * phase.cos(),
            rotation: (rotation.sin() as f32, rotation.cos() as f32),
        }
    }

    fn advance(&mut self) {
        let (sin, cos) = self.rotation;
        let sine = self.sine * cos + self.cosine * sin;
        self.cosine = self.cosine * cos - self.sine * sin;
        self.sine = sine;
    }
}

/// Generates the demand tick by tick.
pub struct Demand {
    shape: GroupShape,
    drift: Drift,
    rng: ChaCha8Rng,
    ticks: usize,
    tick: usize,
    jumped: bool,
    users: Vec<Vec<Vec<Popularity>>>,
    hot: Vec<usize>,
}

fn normal(rng: &mut ChaCha8Rng) -> f32 {
    StandardNormal.sample(rng)
}

impl Demand {
    /// Creates the demand of two users on a group; `ticks` are mapped to one day.
    pub fn new(shape: &GroupShape, drift: Drift, ticks: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut layer = || {
            let experts = 0..shape.experts;
            experts
                .map(|_| Popularity::draw(&drift, &mut rng))
                .collect()
        };
        let mut user = || (0..shape.layers).map(|_| layer()).collect();
        let users = vec![user(), user()];
        let hot = (0..shape.layers)
            .map(|_| rng.random_range(0..shape.experts))
            .collect();
        Self {
            shape: shape.clone(),
            drift,
            rng,
            ticks,
            tick: 0,
            jumped: false,
            users,
            hot,
        }
    }

    /// Returns the next tick, or `None` at the end of the day.
    pub fn advance(&mut self) -> Option<(GroundTruth, Reports)> {
        if self.tick == self.ticks {
            return None;
        }
        let day_fraction = self.tick as f64 / self.ticks as f64;
        self.tick += 1;
        self.advance_drift();
        if day_fraction >= JUMP_AT && !self.jumped {
            self.jump();
        }
        let truth = self.truth(day_fraction);
        let reports = self.reports(&truth, day_fraction);
        Some((truth, reports))
    }

    fn advance_drift(&mut self) {
        let retained = (-TICK_S / self.drift.walk_time_s).exp() as f32;
        let step = self.drift.walk_spread * (1.0 - retained * retained).sqrt();
        for popularity in self.users.iter_mut().flatten().flatten() {
            popularity.drift.advance();
            popularity.walk = retained * popularity.walk + step * normal(&mut self.rng);
        }
    }

    fn jump(&mut self) {
        self.jumped = true;
        for popularity in self.users[1].iter_mut().flatten() {
            if self.rng.random_bool(JUMP_SHARE) {
                popularity.base = POPULARITY_SPREAD * normal(&mut self.rng);
            }
        }
    }

    fn truth(&mut self, day_fraction: f64) -> GroundTruth {
        let rates = [
            daily_rate(day_fraction, 0.35, 0.8),
            daily_rate(day_fraction, 0.65, 0.5),
        ];
        let mut speeds = vec![1.0; self.shape.ranks];
        let straggler = STRAGGLER_WINDOW.contains(day_fraction);
        if straggler {
            speeds[self.shape.ranks / 3] = STRAGGLER_SPEED;
        }
        if STALL_WINDOW.contains(day_fraction) {
            speeds[self.shape.ranks / 2] = STALL_SPEED;
        }
        let loads = (0..self.shape.layers).map(|l| self.layer_loads(l, rates, day_fraction));
        GroundTruth {
            loads: loads.collect(),
            speeds,
            straggler,
        }
    }

    fn layer_loads(&mut self, layer: usize, rates: [f32; 2], day_fraction: f64) -> Vec<f32> {
        let mut loads = vec![0.0; self.shape.experts];
        for (user, rate) in self.users.iter().zip(rates) {
            let weights: Vec<f32> = user[layer].iter().map(Popularity::weight).collect();
            let total: f32 = weights.iter().sum();
            for (load, w) in loads.iter_mut().zip(&weights) {
                *load += rate * w / total;
            }
        }
        if HOT_WINDOW.contains(day_fraction) {
            loads[self.hot[layer]] *= HOT_FACTOR;
        }
        for load in &mut loads {
            *load *= 1.0 + TICK_SPREAD * normal(&mut self.rng);
        }
        loads
    }

    fn reports(&mut self, truth: &GroundTruth, day_fraction: f64) -> Reports {
        let rng = &mut self.rng;
        let noisy = |rng: &mut ChaCha8Rng, x: f32, spread: f32| x * (spread * normal(rng)).exp();
        let slots = self.shape.slots();
        let mut layer = || {
            let slots = 0..slots;
            slots.map(|_| noisy(rng, 1.0, REPORT_SPREAD)).collect()
        };
        let noise = (0..self.shape.layers).map(|_| layer()).collect();
        let speeds = truth.speeds.iter();
        let outage = OUTAGE_WINDOW.contains(day_fraction);
        Reports {
            loads: truth.loads.clone(),
            noise,
            speeds: speeds.map(|s| noisy(rng, *s, SPEED_SPREAD)).collect(),
            lost: truth
                .speeds
                .iter()
                .map(|_| rng.random_bool(REPORT_LOSS_PROBABILITY) || outage)
                .collect(),
        }
    }
}

/// Returns the rate of a user at a fraction of the day: a sine wave with a daily peak.
fn daily_rate(day_fraction: f64, peak: f64, amplitude: f64) -> f32 {
    (1.0 + amplitude * ((day_fraction - peak) * std::f64::consts::TAU).cos()) as f32
}
