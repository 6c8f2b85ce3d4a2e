//! The placement policies that are compared.

use oriole_placement::balance::LayerDraft;
use oriole_placement::greedy;
use oriole_placement::prelude::*;
use oriole_placement::speeds::SpeedConfig;

use super::trace::{GroundTruth, Reports, TICK_S};

/// Time between two full rebalances of the periodic policy, in seconds.
const REBALANCE_INTERVAL_S: f64 = 600.0;
/// Ticks between two plans of the planner; the coordinator's default.
const TICKS_BETWEEN_PLANS: usize = 3;
/// Ticks that a map switch takes once all weights are loaded.
const SWITCH_TICKS: usize = 1;

/// A policy for placing experts.
pub trait Policy {
    /// Processes the reports of one tick; returns the map to switch to, if any.
    fn step(&mut self, reports: &Reports, active_map: &ExpertMap) -> Option<ExpertMap>;
}

/// Keeps the initial map.
pub struct Static;

impl Policy for Static {
    fn step(&mut self, _: &Reports, _: &ExpertMap) -> Option<ExpertMap> {
        None
    }
}

/// Uses the real planner.
pub struct Planned {
    planner: Planner,
    ticks: usize,
}

impl Planned {
    pub fn new(planner: Planner) -> Self {
        Self { planner, ticks: 0 }
    }
}

impl Policy for Planned {
    fn step(&mut self, reports: &Reports, active_map: &ExpertMap) -> Option<ExpertMap> {
        self.planner.observe_loads(&reports.loads(active_map));
        for (rank, speed) in reports.speeds() {
            self.planner.observe_speed(rank, speed);
        }
        if self
            .planner
            .map()
            .is_none_or(|m| m.version != active_map.version)
        {
            self.planner.set_map(active_map.clone());
        }
        self.ticks += 1;
        if !self.ticks.is_multiple_of(TICKS_BETWEEN_PLANS) {
            return None;
        }
        self.planner.plan().map(|p| p.map)
    }
}

/// Rebalances from scratch at fixed intervals, by the mean load since the last rebalance.
pub struct Periodic {
    shape: GroupShape,
    speeds: SpeedEstimator,
    sums: Vec<Vec<(f32, f32)>>,
    ticks: usize,
}

impl Periodic {
    pub fn new(shape: &GroupShape) -> Self {
        Self {
            shape: shape.clone(),
            speeds: SpeedEstimator::new(SpeedConfig::default(), shape.ranks),
            sums: vec![vec![(0.0, 0.0); shape.experts]; shape.layers],
            ticks: 0,
        }
    }

    fn rebalance(&mut self, active_map: &ExpertMap) -> ExpertMap {
        let speeds = self.speeds.speeds();
        let mean = |(sum, n): &(f32, f32)| if *n > 0.0 { sum / n } else { 0.0 };
        let layer = |sums: &Vec<(f32, f32)>| {
            let loads: Vec<f32> = sums.iter().map(mean).collect();
            greedy::place_layer(&self.shape, &loads, &speeds)
        };
        let map = ExpertMap {
            version: active_map.version.next(),
            slots_per_rank: self.shape.slots_per_rank,
            layers: self.sums.iter().map(layer).collect(),
        };
        self.sums.iter_mut().flatten().for_each(|s| *s = (0.0, 0.0));
        map
    }
}

impl Policy for Periodic {
    fn step(&mut self, reports: &Reports, active_map: &ExpertMap) -> Option<ExpertMap> {
        for (rank, speed) in reports.speeds() {
            self.speeds.observe(rank, speed);
        }
        let sample = reports.loads(active_map);
        let expert_sums = self.sums.iter_mut().flatten();
        for (sum, load) in expert_sums.zip(sample.layers.iter().flatten()) {
            if let Some(load) = load {
                sum.0 += load;
                sum.1 += 1.0;
            }
        }
        self.ticks += 1;
        let interval_ticks = (REBALANCE_INTERVAL_S / TICK_S) as usize;
        (self.ticks.is_multiple_of(interval_ticks)).then(|| self.rebalance(active_map))
    }
}

/// The run of one policy over the trace.
pub struct PolicyRun {
    policy: Box<dyn Policy + Send>,
    shape: GroupShape,
    map: ExpertMap,
    /// The next map and the tick at which it comes into force.
    pending: Option<(usize, ExpertMap)>,
    /// Bytes of expert weights loaded for map changes.
    pub bytes_moved: u64,
    /// Ticks at which a new map came into force.
    pub map_changes: Vec<usize>,
    /// Step time of each tick relative to the mean over ranks.
    pub skew: Vec<f64>,
    /// Step time of each tick relative to its lower bound.
    pub ratio: Vec<f64>,
}

impl PolicyRun {
    pub fn new(shape: &GroupShape, first: &ExpertMap, policy: Box<dyn Policy + Send>) -> Self {
        Self {
            policy,
            shape: shape.clone(),
            map: first.clone(),
            pending: None,
            bytes_moved: 0,
            map_changes: Vec::new(),
            skew: Vec::new(),
            ratio: Vec::new(),
        }
    }

    /// Runs one tick: measures the map in force, then passes the reports to the policy.
    pub fn tick(&mut self, tick: usize, truth: &GroundTruth, reports: Option<&Reports>) {
        self.apply_pending_map(tick);
        self.measure(truth);
        let (Some(reports), None) = (reports, &self.pending) else {
            return;
        };
        let Some(next) = self.policy.step(reports, &self.map) else {
            return;
        };
        let bytes = self.map.moves_to(&next).len() as u64 * self.shape.expert_bytes;
        self.bytes_moved += bytes;
        let read_s = bytes as f64 / self.shape.weight_bytes_per_s as f64;
        let ticks = (read_s / TICK_S).ceil() as usize + SWITCH_TICKS;
        self.pending = Some((tick + ticks, next));
    }

    fn apply_pending_map(&mut self, tick: usize) {
        if let Some((_, map)) = self.pending.take_if(|(at, _)| *at <= tick) {
            self.map = map;
            self.map_changes.push(tick);
        }
    }

    fn measure(&mut self, truth: &GroundTruth) {
        let (mut slowest, mut mean, mut bound) = (0.0, 0.0, 0.0);
        let speed_sum: f32 = truth.speeds.iter().sum();
        for (layer, loads) in self.map.layers.iter().zip(&truth.loads) {
            let ranks = layer.rank_loads(loads, self.shape.slots_per_rank);
            let times = || {
                ranks
                    .iter()
                    .zip(&truth.speeds)
                    .map(|(l, s)| f64::from(l / s))
            };
            slowest += times().fold(0.0, f64::max);
            mean += times().sum::<f64>() / ranks.len() as f64;
            bound += f64::from(loads.iter().sum::<f32>() / speed_sum);
        }
        self.skew.push(slowest / mean);
        self.ratio.push(slowest / bound);
    }
}

/// Returns the map of the greedy rebalance with balanced shares, for known loads.
pub fn initial_map(shape: &GroupShape, truth: &GroundTruth) -> ExpertMap {
    let layer = |loads: &Vec<f32>| {
        let placed = greedy::place_layer(shape, loads, &truth.speeds);
        let mut draft = LayerDraft::new(&placed, loads, &truth.speeds, shape.slots_per_rank);
        draft.balance();
        draft.to_layer()
    };
    ExpertMap {
        version: MapVersion(1),
        slots_per_rank: shape.slots_per_rank,
        layers: truth.loads.iter().map(layer).collect(),
    }
}
