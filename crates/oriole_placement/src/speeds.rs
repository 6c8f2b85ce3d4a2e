//! Estimates rank speeds and tells stragglers from stalls.
//!
//! A straggler is slow for minutes and should get less load; a stalled rank is slow for seconds,
//! which is too short for moving load to pay. The median over a window of samples follows
//! stragglers and ignores stalls.

use std::collections::VecDeque;

/// Settings of a [`SpeedEstimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedConfig {
    /// Number of newest samples over which the median is taken.
    pub window: usize,
    /// Weight of the newest median in the estimate while it changes by less than `jump_threshold`.
    pub gain: f32,
    /// Relative change of the median above which the estimate adopts it at once.
    pub jump_threshold: f32,
    /// Lower bound of the estimated speeds; a usual rank has speed 1.
    pub min_speed: f32,
}

impl Default for SpeedConfig {
    fn default() -> Self {
        Self {
            window: 5,
            gain: 0.01,
            jump_threshold: 0.12,
            min_speed: 0.05,
        }
    }
}

/// Estimates the speed of each rank relative to the others. A usual rank has speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedEstimator {
    cfg: SpeedConfig,
    ranks: Vec<RankSpeed>,
}

#[derive(Clone, Debug, PartialEq)]
struct RankSpeed {
    recent: VecDeque<f32>,
    speed: f32,
}

impl SpeedEstimator {
    /// Creates an estimator with all ranks at speed 1.
    #[must_use]
    pub fn new(cfg: SpeedConfig, ranks: usize) -> Self {
        let start = RankSpeed {
            recent: VecDeque::with_capacity(cfg.window),
            speed: 1.0,
        };
        Self {
            cfg,
            ranks: vec![start; ranks],
        }
    }

    /// Adds a sample of a rank's speed in the last interval: its load divided by its busy time.
    pub fn observe(&mut self, rank: usize, speed: f32) {
        if !speed.is_finite() || speed < 0.0 {
            return;
        }
        let cfg = self.cfg;
        let Some(rank) = self.ranks.get_mut(rank) else {
            return;
        };
        if rank.recent.len() == cfg.window {
            rank.recent.pop_front();
        }
        rank.recent.push_back(speed);
        rank.update(&cfg);
    }

    /// Estimated speed of each rank.
    #[must_use]
    pub fn speeds(&self) -> Vec<f32> {
        self.ranks
            .iter()
            .map(|r| r.speed.max(self.cfg.min_speed))
            .collect()
    }

    /// Ranks whose estimated speed is below `fraction` of the group's median.
    #[must_use]
    pub fn stragglers(&self, fraction: f32) -> Vec<usize> {
        let speeds = self.speeds();
        let max_speed = fraction * median(speeds.iter().copied());
        (0..speeds.len())
            .filter(|r| speeds[*r] < max_speed)
            .collect()
    }
}

impl RankSpeed {
    fn update(&mut self, cfg: &SpeedConfig) {
        if self.recent.len() < cfg.window.div_ceil(2) {
            return;
        }
        let observed = median(self.recent.iter().copied());
        let change = observed - self.speed;
        let jumped = change.abs() > cfg.jump_threshold * self.speed;
        self.speed += if jumped { change } else { cfg.gain * change };
    }
}

fn median(values: impl Iterator<Item = f32>) -> f32 {
    let mut sorted: Vec<f32> = values.collect();
    sorted.sort_by(f32::total_cmp);
    let mid = sorted.len() / 2;
    match sorted.len() {
        0 => 1.0,
        n if n % 2 == 1 => sorted[mid],
        _ => f32::midpoint(sorted[mid - 1], sorted[mid]),
    }
}
