//! Estimates loads and speeds and plans another map when it pays.

use std::time::Duration;

use crate::balance::LayerDraft;
use crate::greedy;
use crate::loads::{LoadConfig, LoadEstimator, LoadSample};
use crate::map::{ExpertMap, LayerMap, MapVersion, Move};
use crate::search::{self, SearchConfig};
use crate::shape::{GroupShape, ShapeError};
use crate::speeds::{SpeedConfig, SpeedEstimator};

/// Settings of a [`Planner`]: how a better balance is weighed against the bytes read to reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Settings of the expert load estimates.
    pub loads: LoadConfig,
    /// Settings of the rank speed estimates.
    pub speeds: SpeedConfig,
    /// Time over which the gain of a move is counted against its cost.
    pub horizon: Duration,
    /// Cost of reading weights, as a multiple of the time that it takes.
    pub read_cost_factor: f64,
    /// Experts of a layer are moved only if its slowest rank exceeds a perfect balance by more than
    /// this fraction.
    pub min_move_excess: f32,
    /// Excess over a perfect balance at which a search for moves ends, as a fraction.
    pub target_excess: f32,
    /// Minimum gain of a plan that changes only shares, as a fraction of a balanced step time.
    pub min_share_gain: f32,
    /// Maximum number of bytes that one plan reads.
    pub max_bytes: u64,
    /// Maximum number of reads in one layer and plan.
    pub max_reads_per_layer: usize,
    /// Number of slots of the slowest ranks that each round of a search considers.
    pub source_slots: usize,
    /// Number of fastest ranks that each round of a search considers.
    pub target_ranks: usize,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            loads: LoadConfig::default(),
            speeds: SpeedConfig::default(),
            horizon: Duration::from_secs(600),
            read_cost_factor: 1.0,
            min_move_excess: 0.01,
            target_excess: 0.002,
            min_share_gain: 0.01,
            max_bytes: u64::MAX,
            max_reads_per_layer: 8,
            source_slots: 12,
            target_ranks: 4,
        }
    }
}

oriole_types::value_type! {
    /// Reason for a plan.
    pub enum PlanReason {
        /// The group had no map.
        FirstMap,
        /// Other shares balance better. No weights are read.
        Shares,
        /// Demand has drifted so far that moving experts pays.
        Drift,
        /// A rank became slower or faster for longer than a stall.
        Speed,
    }
}

/// A new map and the reads that lead to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The planned map.
    pub map: ExpertMap,
    /// Reads that are needed before the map can be used, layer by layer. Empty for a first map.
    pub moves: Vec<Move>,
    /// Expected step time under the map in force, relative to a perfect balance.
    pub skew_before: f32,
    /// Expected step time under the new map, relative to a perfect balance.
    pub skew_after: f32,
    /// Why the plan was made.
    pub reason: PlanReason,
}

impl Plan {
    /// Number of bytes that the plan reads from the weight store.
    #[must_use]
    pub fn bytes(&self, shape: &GroupShape) -> u64 {
        self.moves.len() as u64 * shape.expert_bytes
    }
}

/// Plans the expert maps of one group.
///
/// Report measurements with [`Self::observe_loads`] and [`Self::observe_speed`], call
/// [`Self::plan`] periodically, and set the map in force with [`Self::set_map`].
#[derive(Clone, Debug)]
pub struct Planner {
    cfg: PlannerConfig,
    shape: GroupShape,
    loads: LoadEstimator,
    speeds: SpeedEstimator,
    /// Rank speeds at the time when the map came into force.
    planned_speeds: Vec<f32>,
    /// Peak that each layer has to exceed before it is searched again; see `RETRY_MARGIN`.
    search_thresholds: Vec<f32>,
    /// Map in force; `None` if there is none.
    map: Option<ExpertMap>,
}

/// Rise of a layer's peak after which it is searched again although the last search left it
/// unbalanced.
const RETRY_MARGIN: f32 = 0.005;
/// Fraction by which a search threshold's excess over 1 decays with each plan.
const RETRY_THRESHOLD_DECAY: f32 = 0.02;
/// Relative change of a rank's speed since the last map that is given as the reason for a plan.
const SPEED_CHANGE_THRESHOLD: f32 = 0.1;

impl Planner {
    /// Creates a planner for a group without a map.
    ///
    /// # Errors
    ///
    /// Fails if no placement exists for the group's sizes.
    pub fn new(cfg: PlannerConfig, shape: GroupShape) -> Result<Self, ShapeError> {
        shape.check()?;
        Ok(Self {
            loads: LoadEstimator::new(cfg.loads, shape.layers, shape.experts),
            speeds: SpeedEstimator::new(cfg.speeds, shape.ranks),
            planned_speeds: vec![1.0; shape.ranks],
            search_thresholds: vec![0.0; shape.layers],
            cfg,
            shape,
            map: None,
        })
    }

    /// Sizes of the group.
    #[must_use]
    pub fn shape(&self) -> &GroupShape {
        &self.shape
    }

    /// The map in force, as last set by [`Self::set_map`].
    #[must_use]
    pub fn map(&self) -> Option<&ExpertMap> {
        self.map.as_ref()
    }

    /// Estimated speed of each rank.
    #[must_use]
    pub fn speeds(&self) -> Vec<f32> {
        self.speeds.speeds()
    }

    /// Ranks that have been slower than the others for longer than a stall lasts.
    #[must_use]
    pub fn stragglers(&self) -> Vec<usize> {
        self.speeds.stragglers(1.0 - SPEED_CHANGE_THRESHOLD)
    }

    /// Sets the map in force.
    pub fn set_map(&mut self, map: ExpertMap) {
        self.planned_speeds = self.speeds.speeds();
        self.map = Some(map);
    }

    /// Notes that no map is in force. The next plan is made from scratch.
    pub fn clear_map(&mut self) {
        self.map = None;
    }

    /// Adds the load reports of one interval.
    pub fn observe_loads(&mut self, sample: &LoadSample) {
        self.loads.observe(sample);
    }

    /// Adds a sample of a rank's speed in one interval.
    pub fn observe_speed(&mut self, rank: usize, speed: f32) {
        self.speeds.observe(rank, speed);
    }

    /// Expected step time under the map in force, relative to a perfect balance.
    #[must_use]
    pub fn skew(&self) -> f32 {
        let speeds = self.speeds.speeds();
        let Some(map) = &self.map else { return 1.0 };
        let peaks = (0..map.layers.len()).map(|l| self.draft_layer(map, l, &speeds).peak());
        peaks.sum::<f32>() / map.layers.len() as f32
    }

    /// Plans another map; `None` if none pays.
    #[must_use]
    pub fn plan(&mut self) -> Option<Plan> {
        let Some(map) = self.map.take() else {
            return Some(self.plan_first_map());
        };
        let plan = self.plan_change(&map);
        self.map = Some(map);
        plan
    }

    fn draft_layer(&self, map: &ExpertMap, layer: usize, speeds: &[f32]) -> LayerDraft {
        let loads = self.loads.shares(layer);
        LayerDraft::new(
            &map.layers[layer],
            &loads,
            speeds,
            self.shape.slots_per_rank,
        )
    }

    fn plan_first_map(&self) -> Plan {
        let speeds = self.speeds.speeds();
        let cfg = self.search_config(usize::MAX, 0.0);
        let layer = |l: usize| {
            let loads = self.loads.shares(l);
            let placed = greedy::place_layer(&self.shape, &loads, &speeds);
            let mut draft = LayerDraft::new(&placed, &loads, &speeds, self.shape.slots_per_rank);
            search::improve(&mut draft, &cfg, &self.shape.domains);
            (draft.peak(), draft.to_layer())
        };
        let (peaks, layers): (Vec<f32>, Vec<LayerMap>) = (0..self.shape.layers).map(layer).unzip();
        let skew_after = peaks.iter().sum::<f32>() / self.shape.layers as f32;
        Plan {
            map: self.build_map(MapVersion(1), layers),
            moves: Vec::new(),
            skew_before: skew_after,
            skew_after,
            reason: PlanReason::FirstMap,
        }
    }

    fn plan_change(&mut self, map: &ExpertMap) -> Option<Plan> {
        let speeds = self.speeds.speeds();
        let mut layers = LayerDrafts::default();
        for l in 0..map.layers.len() {
            let mut draft = self.draft_layer(map, l, &speeds);
            let skew_before = draft.peak();
            draft.balance();
            layers.push(skew_before, draft);
        }
        self.search_layers(&mut layers);
        self.build_plan(map, &layers, &speeds)
    }

    /// Searches the layers with the highest peak first, until the byte budget is spent. A layer that
    /// a search left unbalanced is skipped until its peak has risen or its threshold has decayed.
    fn search_layers(&mut self, layers: &mut LayerDrafts) {
        let mut budget = (self.cfg.max_bytes / self.shape.expert_bytes.max(1)) as usize;
        for l in layers.worst_first() {
            let peak = layers.drafts[l].peak();
            self.search_thresholds[l] -=
                RETRY_THRESHOLD_DECAY * (self.search_thresholds[l] - 1.0).max(0.0);
            if peak <= (1.0 + self.cfg.min_move_excess).max(self.search_thresholds[l])
                || budget == 0
            {
                continue;
            }
            let cfg = self.search_config(budget, self.min_gain_per_read());
            let reads = search::improve(&mut layers.drafts[l], &cfg, &self.shape.domains);
            budget -= reads.min(budget);
            if layers.drafts[l].peak() > 1.0 + self.cfg.min_move_excess {
                self.search_thresholds[l] = layers.drafts[l].peak() + RETRY_MARGIN;
            }
        }
    }

    /// Minimum gain in one layer for each read, relative to the layer's perfect balance.
    fn min_gain_per_read(&self) -> f32 {
        let layer_fraction = 1.0 / self.shape.layers as f64;
        let cost_s = self.cfg.read_cost_factor * self.shape.expert_read_s();
        (cost_s / (self.cfg.horizon.as_secs_f64() * layer_fraction)) as f32
    }

    fn search_config(&self, budget: usize, min_gain_per_read: f32) -> SearchConfig {
        SearchConfig {
            min_gain_per_read,
            target_excess: self.cfg.target_excess,
            max_reads: self.cfg.max_reads_per_layer.min(budget),
            source_slots: self.cfg.source_slots,
            target_ranks: self.cfg.target_ranks,
        }
    }

    fn build_plan(&self, map: &ExpertMap, plans: &LayerDrafts, speeds: &[f32]) -> Option<Plan> {
        let skew_before = plans.skew_before.iter().sum::<f32>() / plans.skew_before.len() as f32;
        let skew_after =
            plans.drafts.iter().map(LayerDraft::peak).sum::<f32>() / plans.drafts.len() as f32;
        let layers = plans.drafts.iter().map(LayerDraft::to_layer).collect();
        let next = self.build_map(map.version.next(), layers);
        let moves = map.moves_to(&next);
        if moves.is_empty() && skew_before - skew_after < self.cfg.min_share_gain {
            return None;
        }
        Some(Plan {
            reason: self.reason(&moves, speeds),
            moves,
            map: next,
            skew_before,
            skew_after,
        })
    }

    fn reason(&self, moves: &[Move], speeds: &[f32]) -> PlanReason {
        let changed = |(current, planned): (&f32, &f32)| {
            (current - planned).abs() > SPEED_CHANGE_THRESHOLD * planned
        };
        if speeds.iter().zip(&self.planned_speeds).any(changed) {
            return PlanReason::Speed;
        }
        if moves.is_empty() {
            PlanReason::Shares
        } else {
            PlanReason::Drift
        }
    }

    fn build_map(&self, version: MapVersion, layers: Vec<LayerMap>) -> ExpertMap {
        ExpertMap {
            version,
            slots_per_rank: self.shape.slots_per_rank,
            layers,
        }
    }
}

/// Peaks of all layers in the map in force, and working copies of the layers to plan with.
#[derive(Debug, Default)]
struct LayerDrafts {
    skew_before: Vec<f32>,
    drafts: Vec<LayerDraft>,
}

impl LayerDrafts {
    fn push(&mut self, skew_before: f32, draft: LayerDraft) {
        self.skew_before.push(skew_before);
        self.drafts.push(draft);
    }

    fn worst_first(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.drafts.len()).collect();
        order.sort_by(|a, b| self.drafts[*b].peak().total_cmp(&self.drafts[*a].peak()));
        order
    }
}
