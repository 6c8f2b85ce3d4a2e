//! State machine of the leader, the agent of rank 0, which plans maps and coordinates each switch.
//!
//! A switch has four phases: all ranks prepare the map (copy its experts), the leader holds a future
//! pass, all ranks are armed to switch at that pass, and the leader releases the pass.
//!
//! A preparation may be abandoned, but once a pass is held and any rank may be armed for it, the
//! switch is never rolled back: the leader arms all ranks and then releases the pass. So an order
//! that is executed late, twice, or by an agent that was suspended finds its rank armed for the same
//! switch, or the pass begun. A restarted leader continues from what the engines report.

use std::time::Duration;

use oriole_fleet::bounded;
use oriole_fleet::prelude::*;
use oriole_placement::even_split::{self, EvenSplitConfig, EvenSplitPlan, Gain};

use crate::demand::{Demand, Sample};
use crate::forwarding;
use crate::map_cache::{self, diff, map_digest};
use crate::message::{ExpertList, Intent, Status, to_layer_sets};
use crate::status_pacer::status_timeout;

/// Time that a preparation may take in addition to its copies: several times what an exchange of
/// messages with all ranks takes.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the copies of a preparation may take, as a multiple of their usual time.
const COPY_TIMEOUT_FACTOR: f64 = 3.0;

/// Time that a switch takes in addition to copying: messages to and from all ranks, hold and arm.
const SWITCH_OVERHEAD: Duration = Duration::from_millis(250);

/// Maximum ratio of a prepared map's excess over an even spread to that of the map in use. Above it,
/// after a shift of demand, another map is worth its copies.
const OUTDATED_EXCESS_RATIO: f64 = 0.7;

/// Time after which an order to the leader's own engine is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Usual time to hold a pass and arm all ranks. A switch delays the group by less than this, and by
/// less than a pass.
const ARMING_TIME: Duration = Duration::from_millis(50);

/// Maximum number of passes between the current and the held one.
const MAX_LEAD_PASSES: u64 = 60;

/// Fraction by which passes take longer while experts are copied.
const COPY_SLOWDOWN: f64 = 0.15;

/// Skew below which no better map is searched for, since the search takes processor time.
const MIN_PLANNED_SKEW: f64 = 1.08;

/// Time between two searches for a better map while neither map nor demand change.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an intent with a map is sent again.
const MAP_RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an intent to arm is sent again.
const ARM_RESEND_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which the experts of ranks are requested again.
const EXPERTS_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of ranks whose experts are requested at a time.
const MAX_REQUESTED_RANKS: usize = 32;

/// Age at which the last status of a rank that prepares a map is too old to hold a pass for it. Such a
/// rank repeats its status several times in this time.
const PREPARED_STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of ranks by which those that forward an intent change with each attempt.
const FORWARDERS_STEP: usize = 7;

/// Number of low bits of a version that are random for each run of a leader, so that a late
/// preparation of an earlier run can't have the same version with a different map.
const VERSION_SALT_BITS: u32 = 16;

/// Settings of a [`Leader`]: when a switch is worth its cost.
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// Average time between two shifts of demand, over which a plan's gain is counted.
    pub horizon: Duration,
    /// Minimum fraction of the time spent in experts that a switch must save.
    pub min_gain: f64,
    /// Maximum number of experts that a rank copies for one switch.
    pub copies_per_rank: usize,
}

impl Default for LeaderConfig {
    fn default() -> Self {
        Self {
            horizon: Duration::from_millis(1200),
            min_gain: 0.04,
            copies_per_rank: 12,
        }
    }
}

/// Phase of a map switch. Its `Debug` form is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// There is no switch in progress.
    Idle,
    /// Ranks copy the experts of the next map.
    Preparing {
        /// Time at which the preparation is abandoned.
        until: Duration,
    },
    /// The leader orders its engine to hold a pass.
    Holding {
        /// Pass to hold.
        pass: u64,
    },
    /// The pass is held, and ranks are armed to switch at it.
    Arming {
        /// Pass that is held.
        pass: u64,
    },
    /// All ranks are armed, and the pass is released.
    Releasing {
        /// Pass to release.
        pass: u64,
    },
}

/// Action that the leader's agent has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Send an order to the leader's own engine.
    Order(EngineOrder),
    /// Send an intent to the agents of some ranks.
    SendIntent {
        /// Intent to send.
        intent: Intent,
        /// Ranks that have not yet begun to carry it out.
        ranks: Vec<usize>,
    },
    /// Ask the agents of some ranks for their experts.
    RequestExperts {
        /// Ranks whose experts are not known.
        ranks: Vec<usize>,
    },
    /// Log a new plan, whose preparation begins.
    Planned {
        /// Version of the planned map.
        version: u64,
        /// Skew of the map in use.
        skew_before: f64,
        /// Expected skew of the planned map.
        skew_after: f64,
        /// Number of experts that are copied, over all ranks.
        copies: usize,
        /// Moving average of the time of a pass.
        pass_time: Duration,
    },
    /// Log that a preparation was abandoned.
    PreparationAbandoned {
        /// Version of the map.
        version: u64,
        /// Reason in the log and the metric.
        reason: &'static str,
        /// Ranks that have not prepared the map.
        waited_for: Vec<usize>,
    },
    /// Log that a new phase began.
    PhaseChanged(Phase),
}

/// Last status of a rank.
#[derive(Clone, Debug)]
struct RankState {
    status: Status,
    received_at: Duration,
    /// Experts of the rank in the map of its last status, by layer set. Empty if they are unknown.
    experts: Vec<Vec<u16>>,
}

/// The state machine of a group's leader.
pub struct Leader {
    cfg: LeaderConfig,
    version_salt: u64,
    limits: Option<ExpertLimits>,
    rank_states: Vec<Option<RankState>>,
    own_report: EngineReport,
    demand: Demand,
    phase: Phase,
    /// Version of the switch in progress. While idle, 0 or that of the last switch if it was not
    /// completed.
    version: u64,
    /// Map of that version. Empty if a switch of an earlier run is continued.
    map: RankMap,
    /// Version of `map`, kept when the switch has ended.
    map_version: u64,
    /// Time of the last search for a better map. `None` if one is due.
    last_plan_at: Option<Duration>,
    last_order_at: Option<Duration>,
    last_intent_at: Option<Duration>,
    last_experts_request_at: Option<Duration>,
    /// Number of times that the current intent was sent.
    intent_attempts: usize,
    /// Last reported pass and the time of its first report.
    last_pass: Option<(u64, Duration)>,
    /// Moving average of the time of a pass.
    pass_time: Duration,
}

impl Leader {
    /// Creates a leader without a switch in progress. `version_salt` must be random for each run.
    #[must_use]
    pub fn new(cfg: LeaderConfig, version_salt: u64) -> Self {
        Self {
            cfg,
            version_salt: version_salt & ((1 << VERSION_SALT_BITS) - 1),
            limits: None,
            rank_states: Vec::new(),
            own_report: EngineReport::default(),
            demand: Demand::default(),
            phase: Phase::Idle,
            version: 0,
            map: Vec::new(),
            map_version: 0,
            last_plan_at: None,
            last_order_at: None,
            last_intent_at: None,
            last_experts_request_at: None,
            intent_attempts: 0,
            last_pass: None,
            pass_time: Duration::from_millis(40),
        }
    }

    /// Sets the limits on the group's maps, from the configuration.
    pub fn set_limits(&mut self, limits: ExpertLimits) {
        self.limits = Some(limits);
    }

    /// The limits on the group's maps, once the configuration is known.
    #[must_use]
    pub fn limits(&self) -> Option<&ExpertLimits> {
        self.limits.as_ref()
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Handles a report of the leader's own engine.
    pub fn on_report(&mut self, now: Duration, report: EngineReport) {
        if report.epoch != self.own_report.epoch || report.group != self.own_report.group {
            // A re-formed group has nothing held, prepared or armed. Demand has not changed by it,
            // so the first map is planned from the demand measured before.
            self.phase = Phase::Idle;
            self.rank_states.clear();
            self.demand.on_pass_counter_reset();
            self.last_plan_at = None;
            self.last_pass = None;
        }
        if self.rank_states.len() != report.ranks {
            self.rank_states = vec![None; report.ranks];
        }
        self.update_pass_time(now, report.pass);
        self.own_report = report;
    }

    fn update_pass_time(&mut self, now: Duration, pass: u64) {
        if let Some((last, at)) = self.last_pass
            && pass > last
        {
            let took = now.saturating_sub(at) / u32::try_from(pass - last).unwrap_or(1).max(1);
            self.pass_time = (self.pass_time * 3 + took) / 4;
        }
        if self.last_pass.is_none_or(|(last, _)| pass != last) {
            self.last_pass = Some((pass, now));
        }
    }

    /// Handles a status of a rank, the leader's own included. Returns whether demand has shifted.
    pub fn on_status(&mut self, now: Duration, status: Status) -> bool {
        if status.group != self.own_report.group || status.epoch != self.own_report.epoch {
            return false;
        }
        let sample = Sample {
            scaled_choices: &status.scaled_choices(),
            total: status.choices_total,
            from_pass: status.choices_from_pass,
            passes: status.pass.saturating_sub(status.choices_from_pass),
        };
        let layer_sets = self.limits.as_ref().map_or(0, |l| l.layer_sets);
        let demand_shifted = self.demand.add(now, layer_sets, &sample);
        if demand_shifted {
            self.last_plan_at = None;
        }
        let rank = status.rank as usize;
        let experts = self.experts_of(rank, &status);
        if let Some(rank_state) = self.rank_states.get_mut(rank) {
            *rank_state = Some(RankState {
                status,
                received_at: now,
                experts,
            });
        }
        demand_shifted
    }

    /// Experts of a rank in the map in use, which few statuses carry: they may be known from an earlier
    /// one, or since the leader planned that map.
    fn experts_of(&self, rank: usize, status: &Status) -> Vec<Vec<u16>> {
        if !status.current_experts.is_empty() {
            return status
                .current_experts
                .iter()
                .map(ExpertList::to_ids)
                .collect();
        }
        if let Some(Some(known)) = self.rank_states.get(rank)
            && known.status.map_version == status.map_version
            && !known.experts.is_empty()
        {
            return known.experts.clone();
        }
        if status.map_version == self.map_version {
            let sets = self.map.iter().map(|set| set.get(rank).cloned());
            return sets.collect::<Option<_>>().unwrap_or_default();
        }
        Vec::new()
    }

    /// Handles the outcome of an order to the leader's own engine.
    pub fn on_order_outcome(&mut self, order: &EngineOrder, outcome: OrderOutcome) {
        if let (EngineOrder::Hold { pass }, Phase::Holding { pass: wanted }) = (order, &self.phase)
            && pass == wanted
            && outcome == OrderOutcome::Accepted
        {
            self.own_report.held_pass = Some(*pass);
        }
    }

    /// Advances the switch and returns the actions that are due now.
    pub fn tick(&mut self, now: Duration) -> Vec<LeaderAction> {
        if !self.own_report.group_running
            || self.own_report.rank != 0
            || self.rank_states.is_empty()
        {
            return Vec::new();
        }
        let mut actions = Vec::new();
        // A tick may pass through all five phases.
        for _ in 0..5 {
            let previous_phase = self.phase.clone();
            self.step(now, &mut actions);
            if self.phase == previous_phase {
                break;
            }
            actions.push(LeaderAction::PhaseChanged(self.phase.clone()));
            self.last_order_at = None;
            self.last_intent_at = None;
            self.intent_attempts = 0;
        }
        self.send_intent(now, &mut actions);
        self.request_experts(now, &mut actions);
        actions
    }

    /// Asks for the experts that are not known: those of the map with which an epoch begins, and of the
    /// map in use when the leader has restarted.
    fn request_experts(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        let was_sent = self
            .last_experts_request_at
            .is_some_and(|at| now < at + EXPERTS_REQUEST_INTERVAL);
        if was_sent {
            return;
        }
        let rank_states = self.rank_states.iter().enumerate();
        let unknown = rank_states.filter(|(_, r)| r.as_ref().is_some_and(|r| r.experts.is_empty()));
        let ranks: Vec<usize> = unknown
            .map(|(rank, _)| rank)
            .filter(|rank| *rank != 0)
            .take(MAX_REQUESTED_RANKS)
            .collect();
        if !ranks.is_empty() {
            self.last_experts_request_at = Some(now);
            actions.push(LeaderAction::RequestExperts { ranks });
        }
    }

    fn step(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        match self.phase {
            Phase::Idle => self.step_idle(now, actions),
            Phase::Preparing { until } => self.step_preparing(now, until, actions),
            Phase::Holding { pass } => self.step_holding(now, pass, actions),
            Phase::Arming { pass } => {
                if self.all_ranks(now, |s| is_armed_or_switched(s, self.version)) {
                    self.phase = Phase::Releasing { pass };
                }
            }
            Phase::Releasing { pass } => self.step_releasing(now, pass, actions),
        }
    }

    fn step_idle(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        if let Some(pass) = self.own_report.held_pass {
            self.resume_held_pass(now, pass);
            return;
        }
        let layer_sets = self.limits.as_ref().map_or(0, |l| l.layer_sets);
        let planned_recently = self.last_plan_at.is_some_and(|at| now < at + PLAN_INTERVAL);
        if planned_recently || !self.demand.is_settled(now, layer_sets) {
            return;
        }
        let version = self.own_report.map_version;
        if !self.all_ranks(now, |s| {
            s.group_running && s.armed_version.is_none() && s.map_version == version
        }) {
            return;
        }
        self.last_plan_at = Some(now);
        let Some(plan) = self.plan() else { return };
        self.version = self.next_version();
        self.set_map(plan.map);
        self.phase = self.preparing_phase(now, plan.busiest_rank_copies);
        actions.push(LeaderAction::Planned {
            version: self.version,
            skew_before: plan.skew_before,
            skew_after: plan.skew_after,
            copies: plan.copies,
            pass_time: self.pass_time,
        });
    }

    /// Continues with a pass that an earlier run of the leader left held. It may be released only
    /// after all ranks are armed: if the earlier switch is not prepared on all ranks, the map in use
    /// is prepared again under a new version, which copies nothing.
    fn resume_held_pass(&mut self, now: Duration, pass: u64) {
        if !self.all_ranks(now, |s| s.group_running) {
            return;
        }
        let versions: Vec<Option<u64>> = self
            .statuses()
            .map(|s| s.armed_version.or(s.prepared_version))
            .collect();
        let first = versions.first().copied().flatten();
        if let Some(version) = first
            && versions.iter().all(|v| *v == first)
        {
            self.version = version;
            self.map.clear();
            self.phase = Phase::Arming { pass };
            return;
        }
        let map = self.limits.as_ref().and_then(|l| self.current_map(l));
        if let Some(map) = map {
            self.version = self.next_version();
            self.set_map(map);
            self.phase = self.preparing_phase(now, 0);
        }
    }

    /// Sets the map of the current version.
    fn set_map(&mut self, mut map: RankMap) {
        map_cache::sort_experts(&mut map);
        self.map = map;
        self.map_version = self.version;
    }

    fn preparing_phase(&self, now: Duration, copies: usize) -> Phase {
        let copy_s = self.limits.as_ref().map_or(0.0, |l| l.copy_s);
        let copy_time = bounded::duration_from_secs(COPY_TIMEOUT_FACTOR * copies as f64 * copy_s);
        Phase::Preparing {
            until: now + PREPARE_TIMEOUT + copy_time,
        }
    }

    /// Waits until all ranks have prepared the map, then begins to hold a pass. If the map is outdated
    /// by then, the preparation is abandoned, but not earlier: engines that receive another map while
    /// they copy may never report either as prepared. A refusal or a timeout also abandons it.
    fn step_preparing(&mut self, now: Duration, until: Duration, actions: &mut Vec<LeaderAction>) {
        let version = self.version;
        let is_prepared = self.all_ranks_within(now, PREPARED_STATUS_TIMEOUT, |s| {
            s.prepared_version == Some(version)
        });
        let is_refused = self.statuses().any(|s| s.refused_version == Some(version));
        let reason = match is_prepared {
            true if !self.is_outdated(now) => {
                let pass = self.next_hold_pass(now);
                self.phase = Phase::Holding { pass };
                return;
            }
            true => "demand has changed",
            false if is_refused => "refused",
            false if now >= until => "not prepared in time",
            false => return,
        };
        let rank_states = self.rank_states.iter().enumerate();
        let waited_for = rank_states.filter(|(_, rank_state)| {
            let status = rank_state.as_ref().map(|s| &s.status);
            status.is_none_or(|s| s.prepared_version != Some(version))
        });
        actions.push(LeaderAction::PreparationAbandoned {
            version,
            reason,
            waited_for: waited_for.map(|(rank, _)| rank).collect(),
        });
        self.phase = Phase::Idle;
        self.last_plan_at = None;
    }

    /// Whether demand has shifted so much that the prepared map is little better than the one in use.
    /// No rank is armed for it yet, so another map may be prepared instead.
    fn is_outdated(&self, now: Duration) -> bool {
        let Some(limits) = &self.limits else {
            return false;
        };
        let is_settled = self.demand.is_settled(now, limits.layer_sets);
        if self.own_report.held_pass.is_some() || self.last_plan_at.is_some() || !is_settled {
            return false;
        }
        let current_map = self.current_map(limits);
        let demand = self.demand.choices_by_layer_set(limits.layer_sets);
        let (Some(current_map), Some(demand)) = (current_map, demand) else {
            return false;
        };
        let slowdown: Vec<f64> = self.statuses().map(|s| s.slowdown.max(0.1)).collect();
        let excess_before = even_split::skew(&current_map, &demand, &slowdown) - 1.0;
        let excess_after = even_split::skew(&self.map, &demand, &slowdown) - 1.0;
        excess_after > excess_before * OUTDATED_EXCESS_RATIO
    }

    fn step_holding(&mut self, now: Duration, pass: u64, actions: &mut Vec<LeaderAction>) {
        // A hold from an earlier order that was executed late serves as well.
        let held = self
            .own_report
            .held_pass
            .filter(|p| *p > self.own_report.pass);
        if let Some(pass) = held {
            self.phase = Phase::Arming { pass };
        } else if self.own_report.pass >= pass {
            // That pass has begun, so an order to hold it has no effect any more.
            let pass = self.next_hold_pass(now);
            self.phase = Phase::Holding { pass };
        } else {
            self.push_order(now, EngineOrder::Hold { pass }, actions);
        }
    }

    fn step_releasing(&mut self, now: Duration, pass: u64, actions: &mut Vec<LeaderAction>) {
        if self.own_report.held_pass.is_some() && self.own_report.pass < pass {
            self.push_order(now, EngineOrder::Go { pass }, actions);
        } else if self.statuses().all(|s| s.armed_version.is_none()) {
            self.phase = Phase::Idle;
            self.last_plan_at = None;
            self.version = 0;
        }
    }

    fn push_order(&mut self, now: Duration, order: EngineOrder, actions: &mut Vec<LeaderAction>) {
        if self
            .last_order_at
            .is_none_or(|at| now >= at + ORDER_RETRY_INTERVAL)
        {
            self.last_order_at = Some(now);
            actions.push(LeaderAction::Order(order));
        }
    }

    fn send_intent(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        let arm_pass = match self.phase {
            Phase::Preparing { .. } => None,
            Phase::Arming { pass } => Some(pass),
            Phase::Idle | Phase::Holding { .. } | Phase::Releasing { .. } => return,
        };
        let has_map = arm_pass.is_none() && !self.map.is_empty();
        let resend_interval = if has_map {
            MAP_RESEND_INTERVAL
        } else {
            ARM_RESEND_INTERVAL
        };
        if self
            .last_intent_at
            .is_some_and(|at| now < at + resend_interval)
        {
            return;
        }
        self.last_intent_at = Some(now);
        let intent = Intent {
            group: self.own_report.group.clone(),
            epoch: self.own_report.epoch,
            version: self.version,
            arm_pass,
            ..Intent::default()
        };
        let pending_ranks: Vec<usize> = (0..self.rank_states.len())
            .filter(|r| self.is_pending(*r))
            .collect();
        if has_map {
            self.push_map_intents(&intent, pending_ranks, actions);
        } else {
            let ranks = pending_ranks;
            actions.push(LeaderAction::SendIntent { intent, ranks });
        }
        self.intent_attempts += 1;
    }

    /// Sends the map to some ranks, as a patch to those that know the map in use.
    fn push_map_intents(
        &self,
        intent: &Intent,
        ranks: Vec<usize>,
        actions: &mut Vec<LeaderAction>,
    ) {
        let base = self.own_report.map_version;
        let current_map = self.limits.as_ref().and_then(|l| self.current_map(l));
        let knows_base = |r: &usize| {
            let rank_state = self.rank_states[*r].as_ref();
            rank_state.is_some_and(|s| s.status.known_versions.contains(&base))
        };
        let (patch_ranks, full_map_ranks): (Vec<usize>, Vec<usize>) = ranks
            .into_iter()
            .partition(|r| current_map.is_some() && knows_base(r));
        if let Some(current_map) = current_map
            && !patch_ranks.is_empty()
        {
            let intent = Intent {
                base_version: Some(base),
                patch: diff(&current_map, &self.map),
                digest: map_digest(&self.map),
                ..intent.clone()
            };
            self.push_forwarded(&intent, &patch_ranks, actions);
        }
        if !full_map_ranks.is_empty() {
            let intent = Intent {
                map: to_layer_sets(&self.map),
                ..intent.clone()
            };
            self.push_forwarded(&intent, &full_map_ranks, actions);
        }
    }

    /// Sends an intent to some of the ranks, which forward it to the others. Each attempt chooses other
    /// forwarders, since the agent of one may be gone.
    fn push_forwarded(&self, intent: &Intent, ranks: &[usize], actions: &mut Vec<LeaderAction>) {
        let (own, others): (Vec<usize>, Vec<usize>) = ranks.iter().partition(|r| **r == 0);
        if !own.is_empty() {
            actions.push(LeaderAction::SendIntent {
                intent: intent.clone(),
                ranks: own,
            });
        }
        let mut others: Vec<u32> = others.iter().map(|r| *r as u32).collect();
        let step = self.intent_attempts.wrapping_mul(FORWARDERS_STEP);
        let rotation = step.checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(rotation);
        for branch in forwarding::branches(&others) {
            actions.push(LeaderAction::SendIntent {
                intent: Intent {
                    forward_to: branch.forward_to,
                    ..intent.clone()
                },
                ranks: vec![branch.rank],
            });
        }
    }

    /// Whether a rank has not yet begun to carry out the current intent, according to its last status.
    fn is_pending(&self, rank: usize) -> bool {
        let Some(rank_state) = &self.rank_states[rank] else {
            return true;
        };
        let status = &rank_state.status;
        let has_begun = status.preparing_version == Some(self.version);
        let is_preparing = matches!(self.phase, Phase::Preparing { .. });
        let is_prepared = status.prepared_version == Some(self.version) && is_preparing;
        !(is_armed_or_switched(status, self.version) || is_prepared || (is_preparing && has_begun))
    }

    /// The pass to hold: the first that begins after all ranks can be armed, or less than a pass
    /// earlier.
    fn next_hold_pass(&self, now: Duration) -> u64 {
        let elapsed = self
            .last_pass
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at));
        let remaining = self.pass_time.saturating_sub(elapsed);
        let shortfall_s = ARMING_TIME.saturating_sub(remaining).as_secs_f64();
        let passes = shortfall_s / self.pass_time.as_secs_f64().max(0.001);
        self.own_report.pass + 1 + (passes as u64).min(MAX_LEAD_PASSES)
    }

    fn next_version(&self) -> u64 {
        let highest = self
            .statuses()
            .flat_map(|s| {
                [
                    Some(s.map_version),
                    s.prepared_version,
                    s.armed_version,
                    s.refused_version,
                ]
            })
            .flatten()
            .max()
            .unwrap_or(0)
            .max(self.version);
        (((highest >> VERSION_SALT_BITS) + 1) << VERSION_SALT_BITS) | self.version_salt
    }

    fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.rank_states.iter().flatten().map(|s| &s.status)
    }

    /// Whether all ranks have sent a recent status that satisfies the condition.
    fn all_ranks(&self, now: Duration, condition: impl Fn(&Status) -> bool) -> bool {
        self.all_ranks_within(now, status_timeout(self.rank_states.len()), condition)
    }

    fn all_ranks_within(
        &self,
        now: Duration,
        timeout: Duration,
        condition: impl Fn(&Status) -> bool,
    ) -> bool {
        self.rank_states.iter().all(|rank_state| {
            rank_state
                .as_ref()
                .is_some_and(|s| now < s.received_at + timeout && condition(&s.status))
        })
    }

    fn plan(&self) -> Option<EvenSplitPlan> {
        let limits = self.limits.as_ref()?;
        let map = self.current_map(limits)?;
        let demand = self.demand.choices_by_layer_set(limits.layer_sets)?;
        let slowdown: Vec<f64> = self.statuses().map(|s| s.slowdown.max(0.1)).collect();
        if even_split::skew(&map, &demand, &slowdown) < MIN_PLANNED_SKEW {
            return None;
        }
        let split_cfg = EvenSplitConfig {
            slots_per_rank: limits.max_experts_per_rank,
            max_new_experts: limits.max_new_experts_per_rank,
            copies_per_rank: self.cfg.copies_per_rank,
            ..EvenSplitConfig::default()
        };
        let objective =
            |gain: &Gain| saved_time_s(limits, self.time_to_next_switch(limits, gain), gain);
        let plan = even_split::plan(&map, &demand, &slowdown, &split_cfg, objective);
        let saved_time_s = saved_time_s(limits, self.cfg.horizon, &plan.gain());
        let min_saved = self.cfg.min_gain * plan.skew_before * self.cfg.horizon.as_secs_f64();
        (saved_time_s >= min_saved).then_some(plan)
    }

    /// Time until a second switch could bring the remaining copies into use. A plan with fewer copies
    /// is in use sooner, but leaves the rest of the gain to that switch.
    fn time_to_next_switch(&self, limits: &ExpertLimits, gain: &Gain) -> Duration {
        let copy_time = gain.busiest_rank_copies_total as f64 * limits.copy_s.max(0.0);
        (SWITCH_OVERHEAD + bounded::duration_from_secs(copy_time)).min(self.cfg.horizon)
    }

    /// The map in use. `None` until the experts of all ranks in it are known.
    fn current_map(&self, limits: &ExpertLimits) -> Option<RankMap> {
        let version = self.own_report.map_version;
        let mut map = vec![Vec::with_capacity(self.rank_states.len()); limits.layer_sets];
        for rank_state in self.rank_states.iter().flatten() {
            let is_known = rank_state.experts.len() == limits.layer_sets;
            if !is_known || rank_state.status.map_version != version {
                return None;
            }
            for (set, experts) in map.iter_mut().zip(&rank_state.experts) {
                set.push(experts.clone());
            }
        }
        map_cache::sort_experts(&mut map);
        Some(map)
    }
}

/// Time that a plan saves within `horizon`, in seconds of evenly balanced passes. Nothing is saved
/// until its experts are copied, and passes are slower meanwhile.
fn saved_time_s(limits: &ExpertLimits, horizon: Duration, gain: &Gain) -> f64 {
    let horizon = horizon.as_secs_f64();
    let copy_time = (gain.busiest_rank_copies as f64 * limits.copy_s).min(horizon);
    let gained = (gain.skew_before - gain.skew_after) * limits.expert_share * (horizon - copy_time);
    gained - COPY_SLOWDOWN * gain.skew_before * copy_time
}

/// Whether a rank is armed to switch to a version or has switched to it.
fn is_armed_or_switched(status: &Status, version: u64) -> bool {
    status.armed_version == Some(version) || status.map_version == version
}
