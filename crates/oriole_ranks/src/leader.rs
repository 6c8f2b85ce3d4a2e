//! The agent beside rank 0 leads each change of maps.
//!
//! A change only ever goes forward: once a pass is held and any rank may have been armed for it, the
//! leader arms all of them and then lets the pass go. So an order that is carried out late, or twice,
//! or by an agent that slept, finds its rank armed for the very same change, or the pass begun.
//! A leader that starts anew goes on from what the engines report.

use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_placement::even_split::{self, EvenSplitConfig, EvenSplitPlan, Gain};

use crate::demand::{Demand, Sample};
use crate::map_memory::{self, difference, map_digest};
use crate::message::{Intent, Status, layer_sets};

/// Silence of a rank's agent after which the leader starts nothing new.
const HEARD_FOR: Duration = Duration::from_millis(900);

/// Time that a preparation may take beside its copies before another map is planned: some times what
/// telling all ranks and hearing of them takes.
const PREPARE_FOR: Duration = Duration::from_secs(1);

/// How many times as long as usual the copies of a preparation may take.
const COPY_PATIENCE: f64 = 3.0;

/// Time that a change takes besides copying: telling all ranks, hearing of them, holding and arming.
const CHANGE_TIME: Duration = Duration::from_millis(250);

/// Share of the excess over an even spread that a map under preparation may leave when demand has
/// changed; with more, another one is worth its copies.
const OUTDATED: f64 = 0.7;

/// Time between unchanged orders to the leader's own engine.
const ORDER_AGAIN: Duration = Duration::from_millis(100);

/// Time that holding a pass and arming all ranks takes as a rule. A group waits for less than this, and
/// less than a pass, at each change.
const ARMING_TIME: Duration = Duration::from_millis(50);

/// Most passes between the one that runs and the held one.
const MAX_LEAD: u64 = 60;

/// Passes take this much longer while experts are copied.
const COPY_SLOWDOWN: f64 = 0.15;

/// Skew up to which no change is looked for: looking takes processor time.
const GOOD_ENOUGH: f64 = 1.08;

/// Time between two looks for a better map while neither map nor demand have changed.
const LOOK: Duration = Duration::from_millis(500);

/// Time between unchanged intents that carry a map, which is large.
const MAP_AGAIN: Duration = Duration::from_millis(200);

/// Bits of a version that are random for each run of a leader, so that a late preparation of an
/// earlier run cannot carry the same version with another map.
const SALT_BITS: u32 = 16;

/// When a change is worth its cost.
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// Time for which demand stays as it is, on average.
    pub horizon: Duration,
    /// Least share of the experts' time that a change must save.
    pub min_gain: f64,
    /// Most experts that a rank copies in one change.
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

/// How far a change has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// No change is under way.
    Idle,
    /// Ranks copy experts.
    Preparing {
        /// Time at which it is given up.
        until: Duration,
    },
    /// The pass is to be held.
    Holding {
        /// Pass.
        pass: u64,
    },
    /// The pass is held, and ranks are armed for it.
    Arming {
        /// Pass.
        pass: u64,
    },
    /// All ranks are armed, and the pass may begin.
    Releasing {
        /// Pass.
        pass: u64,
    },
}

/// What the leader's agent has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAction {
    /// Give an order to the leader's own engine.
    Order(EngineOrder),
    /// Tell some agents of the group.
    Tell {
        /// What is wanted.
        intent: Intent,
        /// Ranks that have not done it.
        ranks: Vec<usize>,
    },
    /// Log a plan that is carried out.
    Planned {
        /// Version.
        version: u64,
        /// Skew before and after.
        before: f64,
        /// Skew that is expected afterwards.
        after: f64,
        /// Experts that are copied.
        copies: usize,
        /// Time of a pass, averaged.
        pass_time: Duration,
    },
    /// Log that a preparation was given up.
    GaveUp {
        /// Version.
        version: u64,
        /// Why.
        reason: &'static str,
        /// Ranks that have not prepared it.
        waited_for: Vec<usize>,
    },
    /// Log that a phase ended.
    Entered(Phase),
}

#[derive(Clone, Debug)]
struct SeatView {
    status: Status,
    heard_at: Duration,
}

/// The state machine of a group's leader.
pub struct Leader {
    cfg: LeaderConfig,
    salt: u64,
    shape: Option<ExpertLimits>,
    seats: Vec<Option<SeatView>>,
    own: EngineReport,
    demand: Demand,
    phase: Phase,
    version: u64,
    map: RankMap,
    looked_at: Option<Duration>,
    ordered_at: Option<Duration>,
    told_at: Option<Duration>,
    pass_at: Option<(u64, Duration)>,
    pass_time: Duration,
}

impl Leader {
    /// A leader that knows of no change. `salt` is random for each run.
    #[must_use]
    pub fn new(cfg: LeaderConfig, salt: u64) -> Self {
        Self {
            cfg,
            salt: salt & ((1 << SALT_BITS) - 1),
            shape: None,
            seats: Vec::new(),
            own: EngineReport::default(),
            demand: Demand::default(),
            phase: Phase::Idle,
            version: 0,
            map: Vec::new(),
            looked_at: None,
            ordered_at: None,
            told_at: None,
            pass_at: None,
            pass_time: Duration::from_millis(40),
        }
    }

    /// Shape of the group, from the configuration.
    pub fn set_shape(&mut self, shape: ExpertLimits) {
        self.shape = Some(shape);
    }

    /// How far the change under way has come.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Takes the report of the leader's own engine.
    pub fn reported(&mut self, now: Duration, report: EngineReport) {
        if report.epoch != self.own.epoch || report.group != self.own.group {
            // A re-formed group holds, prepares and arms nothing. What callers ask for has not
            // changed by it, so that the first map is planned from the demand of before.
            self.phase = Phase::Idle;
            self.seats.clear();
            self.demand.restart_passes();
            self.looked_at = None;
            self.pass_at = None;
        }
        if self.seats.len() != report.ranks {
            self.seats = vec![None; report.ranks];
        }
        self.time_passes(now, report.pass);
        self.own = report;
    }

    fn time_passes(&mut self, now: Duration, pass: u64) {
        if let Some((last, at)) = self.pass_at
            && pass > last
        {
            let took = now.saturating_sub(at) / u32::try_from(pass - last).unwrap_or(1).max(1);
            self.pass_time = (self.pass_time * 3 + took) / 4;
        }
        if self.pass_at.is_none_or(|(last, _)| pass != last) {
            self.pass_at = Some((pass, now));
        }
    }

    /// Takes a status of a rank, the leader's own included; whether it tells of another demand.
    pub fn heard(&mut self, now: Duration, status: Status) -> bool {
        if status.group != self.own.group || status.epoch != self.own.epoch {
            return false;
        }
        let sample = Sample {
            parts: &status.picks,
            total: status.picks_total,
            from: status.picks_from,
        };
        let sets = self.shape.as_ref().map_or(0, |s| s.layer_sets);
        let has_shifted = self.demand.add(now, sets, &sample);
        if has_shifted {
            self.looked_at = None;
        }
        let rank = status.rank as usize;
        if let Some(seat) = self.seats.get_mut(rank) {
            *seat = Some(SeatView {
                status,
                heard_at: now,
            });
        }
        has_shifted
    }

    /// Takes the end of an order to the leader's own engine.
    pub fn ordered(&mut self, order: &EngineOrder, end: OrderEnd) {
        if let (EngineOrder::Hold { pass }, Phase::Holding { pass: wanted }) = (order, &self.phase)
            && pass == wanted
            && end == OrderEnd::Accepted
        {
            self.own.held = Some(*pass);
        }
    }

    /// What is to be done now.
    pub fn tick(&mut self, now: Duration) -> Vec<LeaderAction> {
        if !self.own.open || self.own.rank != 0 || self.seats.is_empty() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        for _ in 0..5 {
            let before = self.phase.clone();
            self.step(now, &mut actions);
            if self.phase == before {
                break;
            }
            actions.push(LeaderAction::Entered(self.phase.clone()));
            self.ordered_at = None;
            self.told_at = None;
        }
        self.tell(now, &mut actions);
        actions
    }

    fn step(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        match self.phase {
            Phase::Idle => self.idle(now, actions),
            Phase::Preparing { until } => self.preparing(now, until, actions),
            Phase::Holding { pass } => self.holding(now, pass, actions),
            Phase::Arming { pass } => {
                if self.all(now, |s| is_bound_for(s, self.version)) {
                    self.phase = Phase::Releasing { pass };
                }
            }
            Phase::Releasing { pass } => self.releasing(now, pass, actions),
        }
    }

    fn idle(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        if let Some(pass) = self.own.held {
            self.take_up(now, pass);
            return;
        }
        let sets = self.shape.as_ref().map_or(0, |s| s.layer_sets);
        let has_looked = self.looked_at.is_some_and(|at| now < at + LOOK);
        if has_looked || !self.demand.is_settled(now, sets) {
            return;
        }
        let version = self.own.map_version;
        if !self.all(now, |s| {
            s.open && s.armed.is_none() && s.map_version == version
        }) {
            return;
        }
        self.looked_at = Some(now);
        let Some(plan) = self.plan() else { return };
        self.version = self.next_version();
        self.map = plan.map;
        map_memory::sort(&mut self.map);
        self.phase = self.begin_preparing(now, plan.busiest_rank_copies);
        actions.push(LeaderAction::Planned {
            version: self.version,
            before: plan.skew_before,
            after: plan.skew_after,
            copies: plan.copies,
            pass_time: self.pass_time,
        });
    }

    /// Goes on with a pass that an earlier run of the leader left held. It is let go only after all
    /// ranks are armed: if the earlier change is not prepared everywhere, the map in use is prepared
    /// anew, which copies nothing.
    fn take_up(&mut self, now: Duration, pass: u64) {
        if !self.all(now, |s| s.open) {
            return;
        }
        let bound: Vec<Option<u64>> = self.statuses().map(|s| s.armed.or(s.prepared)).collect();
        let first = bound.first().copied().flatten();
        if let Some(version) = first
            && bound.iter().all(|b| *b == first)
        {
            self.version = version;
            self.map.clear();
            self.phase = Phase::Arming { pass };
            return;
        }
        let map = self.shape.as_ref().and_then(|s| self.map_in_use(s));
        if let Some(map) = map {
            self.version = self.next_version();
            self.map = map;
            self.phase = self.begin_preparing(now, 0);
        }
    }

    fn begin_preparing(&self, now: Duration, copies: usize) -> Phase {
        let copy_s = self.shape.as_ref().map_or(0.0, |s| s.copy_s);
        let copying = Duration::from_secs_f64(COPY_PATIENCE * copies as f64 * copy_s.max(0.0));
        Phase::Preparing {
            until: now + PREPARE_FOR + copying,
        }
    }

    /// Waits for all ranks. Engines that are told of another map while they copy may never report it
    /// as prepared, so that a preparation comes to its end even if its map is outdated by then.
    fn preparing(&mut self, now: Duration, until: Duration, actions: &mut Vec<LeaderAction>) {
        let version = self.version;
        let is_prepared = self.all(now, |s| s.prepared == Some(version));
        let is_refused = self.statuses().any(|s| s.refused == Some(version));
        let reason = match is_prepared {
            true if !self.is_outdated(now) => {
                let pass = self.pass_ahead(now);
                self.phase = Phase::Holding { pass };
                return;
            }
            true => "demand has changed",
            false if is_refused => "refused",
            false if now >= until => "not prepared in time",
            false => return,
        };
        let seats = self.seats.iter().enumerate();
        let waited_for = seats.filter(|(_, seat)| {
            let status = seat.as_ref().map(|s| &s.status);
            status.is_none_or(|s| s.prepared != Some(version))
        });
        actions.push(LeaderAction::GaveUp {
            version,
            reason,
            waited_for: waited_for.map(|(rank, _)| rank).collect(),
        });
        self.phase = Phase::Idle;
        self.looked_at = None;
    }

    /// Whether demand has changed so much that the prepared map is little better than the one in use.
    /// Nothing is armed for it yet, so that another may be prepared instead.
    fn is_outdated(&self, now: Duration) -> bool {
        let Some(shape) = &self.shape else {
            return false;
        };
        let is_settled = self.demand.is_settled(now, shape.layer_sets);
        if self.own.held.is_some() || self.looked_at.is_some() || !is_settled {
            return false;
        }
        let in_use = self.map_in_use(shape);
        let demand = self.demand.by_set(shape.layer_sets);
        let (Some(in_use), Some(demand)) = (in_use, demand) else {
            return false;
        };
        let pace: Vec<f64> = self.statuses().map(|s| s.pace.max(0.1)).collect();
        let before = even_split::skew(&in_use, &demand, &pace) - 1.0;
        let after = even_split::skew(&self.map, &demand, &pace) - 1.0;
        after > before * OUTDATED
    }

    fn holding(&mut self, now: Duration, pass: u64, actions: &mut Vec<LeaderAction>) {
        // A hold of an earlier order, carried out late, serves as well.
        let held = self.own.held.filter(|p| *p > self.own.pass);
        if let Some(pass) = held {
            self.phase = Phase::Arming { pass };
        } else if self.own.pass >= pass {
            // The hold came too late, and none of that pass can come any more.
            let pass = self.pass_ahead(now);
            self.phase = Phase::Holding { pass };
        } else {
            self.order(now, EngineOrder::Hold { pass }, actions);
        }
    }

    fn releasing(&mut self, now: Duration, pass: u64, actions: &mut Vec<LeaderAction>) {
        if self.own.held.is_some() && self.own.pass < pass {
            self.order(now, EngineOrder::Go { pass }, actions);
        } else if self.statuses().all(|s| s.armed.is_none()) {
            self.phase = Phase::Idle;
            self.looked_at = None;
            self.version = 0;
        }
    }

    fn order(&mut self, now: Duration, order: EngineOrder, actions: &mut Vec<LeaderAction>) {
        if self.ordered_at.is_none_or(|at| now >= at + ORDER_AGAIN) {
            self.ordered_at = Some(now);
            actions.push(LeaderAction::Order(order));
        }
    }

    fn tell(&mut self, now: Duration, actions: &mut Vec<LeaderAction>) {
        let arm_pass = match self.phase {
            Phase::Preparing { .. } => None,
            Phase::Arming { pass } => Some(pass),
            Phase::Idle | Phase::Holding { .. } | Phase::Releasing { .. } => return,
        };
        let has_map = arm_pass.is_none() && !self.map.is_empty();
        if has_map && self.told_at.is_some_and(|at| now < at + MAP_AGAIN) {
            return;
        }
        self.told_at = Some(now);
        let intent = Intent {
            group: self.own.group.clone(),
            epoch: self.own.epoch,
            version: self.version,
            arm_pass,
            ..Intent::default()
        };
        let waited_for = (0..self.seats.len()).filter(|r| self.is_waited_for(*r));
        if !has_map {
            let ranks = waited_for.collect();
            actions.push(LeaderAction::Tell { intent, ranks });
            return;
        }
        let base = self.own.map_version;
        let (patched, whole): (Vec<usize>, Vec<usize>) = waited_for.partition(|r| {
            let seat = self.seats[*r].as_ref();
            seat.is_some_and(|s| s.status.known.contains(&base))
        });
        let in_use = self.shape.as_ref().and_then(|s| self.map_in_use(s));
        if let Some(in_use) = in_use
            && !patched.is_empty()
        {
            let intent = Intent {
                base: Some(base),
                patch: difference(&in_use, &self.map),
                digest: map_digest(&self.map),
                ..intent.clone()
            };
            let ranks = patched;
            actions.push(LeaderAction::Tell { intent, ranks });
        }
        if !whole.is_empty() {
            let intent = Intent {
                map: layer_sets(&self.map),
                ..intent
            };
            let ranks = whole;
            actions.push(LeaderAction::Tell { intent, ranks });
        }
    }

    /// Whether a rank has not done what the intent asks.
    fn is_waited_for(&self, rank: usize) -> bool {
        let Some(seat) = &self.seats[rank] else {
            return true;
        };
        let status = &seat.status;
        let has_begun = status.preparing == Some(self.version);
        let is_preparing = matches!(self.phase, Phase::Preparing { .. });
        let is_done = status.prepared == Some(self.version) && is_preparing;
        !(is_bound_for(status, self.version) || is_done || (is_preparing && has_begun))
    }

    /// The first pass that begins no sooner than all ranks can be armed, or that little before.
    fn pass_ahead(&self, now: Duration) -> u64 {
        let runs_for = self
            .pass_at
            .map_or(Duration::ZERO, |(_, at)| now.saturating_sub(at));
        let left = self.pass_time.saturating_sub(runs_for);
        let late = ARMING_TIME.saturating_sub(left).as_secs_f64();
        let passes = late / self.pass_time.as_secs_f64().max(0.001);
        self.own.pass + 1 + (passes as u64).min(MAX_LEAD)
    }

    fn next_version(&self) -> u64 {
        let highest = self
            .statuses()
            .flat_map(|s| [Some(s.map_version), s.prepared, s.armed, s.refused])
            .flatten()
            .max()
            .unwrap_or(0)
            .max(self.version);
        (((highest >> SALT_BITS) + 1) << SALT_BITS) | self.salt
    }

    fn statuses(&self) -> impl Iterator<Item = &Status> {
        self.seats.iter().flatten().map(|s| &s.status)
    }

    /// Whether something holds of all ranks, as heard lately.
    fn all(&self, now: Duration, holds: impl Fn(&Status) -> bool) -> bool {
        self.seats.iter().all(|seat| {
            seat.as_ref()
                .is_some_and(|s| now < s.heard_at + HEARD_FOR && holds(&s.status))
        })
    }

    fn plan(&self) -> Option<EvenSplitPlan> {
        let shape = self.shape.as_ref()?;
        let map = self.map_in_use(shape)?;
        let demand = self.demand.by_set(shape.layer_sets)?;
        let pace: Vec<f64> = self.statuses().map(|s| s.pace.max(0.1)).collect();
        if even_split::skew(&map, &demand, &pace) < GOOD_ENOUGH {
            return None;
        }
        let limits = EvenSplitConfig {
            slots_per_rank: shape.places,
            max_new_experts: shape.spare,
            copies_per_rank: self.cfg.copies_per_rank,
            ..EvenSplitConfig::default()
        };
        let worth = |gain: &Gain| saved(shape, self.until_next(shape, gain), gain);
        let plan = even_split::plan(&map, &demand, &pace, &limits, worth);
        let saved = saved(shape, self.cfg.horizon, &plan.gain());
        let least = self.cfg.min_gain * plan.skew_before * self.cfg.horizon.as_secs_f64();
        (saved >= least).then_some(plan)
    }

    /// Time until what is left to copy after a change can be in force as well. What is copied later is
    /// in use later, but what is copied first is so sooner.
    fn until_next(&self, shape: &ExpertLimits, gain: &Gain) -> Duration {
        let copying = gain.busiest_rank_copies_total as f64 * shape.copy_s.max(0.0);
        (CHANGE_TIME + Duration::from_secs_f64(copying)).min(self.cfg.horizon)
    }

    fn map_in_use(&self, shape: &ExpertLimits) -> Option<RankMap> {
        let mut map = vec![Vec::with_capacity(self.seats.len()); shape.layer_sets];
        for status in self.statuses() {
            if status.placed.len() != shape.layer_sets {
                return None;
            }
            for (set, experts) in map.iter_mut().zip(&status.placed) {
                set.push(experts.to_ids());
            }
        }
        map_memory::sort(&mut map);
        Some(map)
    }
}

/// Time that a plan saves within some time, in seconds of an evenly spread pass: nothing until its
/// experts are copied, and passes are slower meanwhile.
fn saved(shape: &ExpertLimits, within: Duration, gain: &Gain) -> f64 {
    let within = within.as_secs_f64();
    let copying = (gain.busiest_rank_copies as f64 * shape.copy_s).min(within);
    let gained = (gain.skew_before - gain.skew_after) * shape.expert_share * (within - copying);
    gained - COPY_SLOWDOWN * gain.skew_before * copying
}

/// Whether a rank changes to a version by itself, or has done so.
fn is_bound_for(status: &Status, version: u64) -> bool {
    status.armed == Some(version) || status.map_version == version
}
