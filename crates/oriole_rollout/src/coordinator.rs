//! The machine that plans and orders switches for one group.
//!
//! It runs while its process holds the group's lease, under one fencing number. It decides
//! nothing: when it dies at any point, the ranks settle what it proposed, and the next coordinator
//! learns from them what is in force.

mod gathering;
mod switching;

use std::sync::Arc;
use std::time::Duration;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_placement::planner::{Plan, Planner, PlannerConfig};
use oriole_placement::shape::{GroupShape, ShapeError};
use oriole_types::ids::{Fence, GroupName};

use crate::messages::{Envelope, GroupMessage, Party, Proposal, RankId, RankReport};
use crate::status::{GroupPhase, GroupStatus, LastSwitch};

/// Settings of a coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorConfig {
    /// How the planner weighs skew against bytes.
    pub planner: PlannerConfig,
    /// Interval between two polls of the ranks while nothing is switched.
    pub poll_interval: Duration,
    /// Interval between two polls while a switch is under way.
    pub switch_poll_interval: Duration,
    /// Least time between two plans.
    pub plan_interval: Duration,
    /// Age at which a rank's report no longer counts as fresh.
    pub report_max_age: Duration,
    /// Time after which ranks that have not begun to read a map are sent it again.
    pub prepare_retry_interval: Duration,
    /// Time after which ranks that read weights are given up.
    pub stage_timeout: Duration,
    /// Time after which a proposal without an outcome is proposed anew.
    pub decide_timeout: Duration,
    /// Time ahead of the current step at which a map is to come into force.
    pub lead_time: Duration,
    /// Time after a failed switch in which no other is tried.
    pub failure_backoff: Duration,
}

impl Default for CoordinatorConfig {
    fn default() -> Self {
        Self {
            planner: PlannerConfig::default(),
            poll_interval: Duration::from_secs(5),
            switch_poll_interval: Duration::from_millis(500),
            plan_interval: Duration::from_secs(30),
            report_max_age: Duration::from_secs(15),
            prepare_retry_interval: Duration::from_secs(2),
            stage_timeout: Duration::from_secs(300),
            decide_timeout: Duration::from_secs(5),
            lead_time: Duration::from_millis(400),
            failure_backoff: Duration::from_secs(30),
        }
    }
}

/// What the driver of a coordinator has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to a rank; it may get lost.
    Send(RankId, GroupMessage),
    /// Make the group's state visible to operators.
    Publish(Box<GroupStatus>),
    /// A higher fencing number has been seen: stop.
    StepDown(Fence),
}

/// The coordinator of one group under one fencing number.
#[derive(Clone, Debug)]
pub struct GroupCoordinator {
    cfg: CoordinatorConfig,
    group: GroupName,
    fence: Fence,
    planner: Planner,
    reports: Vec<Option<ReceivedReport>>,
    phase: Phase,
    last_polled_at: Option<Duration>,
    last_prepare_at: Option<Duration>,
    last_planned_at: Option<Duration>,
    backoff_until: Duration,
    attempts: u32,
    wants_map: bool,
    maps_lost_since: Option<Duration>,
    last_switch: Option<LastSwitch>,
    step_rate: StepRate,
}

/// A rank's last report with the time of its arrival.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at: Duration,
    report: RankReport,
}

#[derive(Clone, Debug)]
enum Phase {
    Gathering,
    Steady,
    Staging(Box<PendingSwitch>),
    Deciding(Box<PendingSwitch>, Proposal),
}

#[derive(Clone, Debug)]
struct PendingSwitch {
    plan: Plan,
    map: Arc<ExpertMap>,
    base: Option<MapId>,
    started_at: Duration,
}

/// Steps a second, from successive reports.
#[derive(Clone, Copy, Debug, Default)]
struct StepRate {
    last_observed: Option<(Duration, u64)>,
    per_s: f64,
}

impl StepRate {
    fn observe(&mut self, now: Duration, step: u64) {
        let Some((last_at, last_step)) = self.last_observed else {
            self.last_observed = Some((now, step));
            return;
        };
        let elapsed = now.saturating_sub(last_at).as_secs_f64();
        if step > last_step && elapsed > 0.1 {
            self.per_s = (step - last_step) as f64 / elapsed;
            self.last_observed = Some((now, step));
        }
    }
}

type Actions = Vec<CoordinatorAction>;

/// Moves that a status shows.
const STATUS_MAX_MOVES: usize = 8;

impl GroupCoordinator {
    /// A coordinator that has just won the group's lease.
    ///
    /// # Errors
    ///
    /// Fails if no placement exists for the group's sizes.
    pub fn new(
        cfg: CoordinatorConfig,
        group: GroupName,
        shape: GroupShape,
        fence: Fence,
    ) -> Result<Self, ShapeError> {
        let ranks = shape.ranks;
        Ok(Self {
            planner: Planner::new(cfg.planner.clone(), shape)?,
            cfg,
            group,
            fence,
            reports: vec![None; ranks],
            phase: Phase::Gathering,
            last_polled_at: None,
            last_prepare_at: None,
            last_planned_at: None,
            backoff_until: Duration::ZERO,
            attempts: 0,
            wants_map: true,
            maps_lost_since: None,
            last_switch: None,
            step_rate: StepRate::default(),
        })
    }

    /// Its fencing number.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Takes in a message from a rank.
    pub fn on_message(&mut self, now: Duration, envelope: Envelope) -> Vec<CoordinatorAction> {
        let mut out = Vec::new();
        let Party::Rank(rank) = envelope.from else {
            return out;
        };
        match envelope.message {
            GroupMessage::Report(report) if usize::from(rank) < self.reports.len() => {
                self.on_report(now, rank, *report);
                self.advance(now, &mut out);
            }
            GroupMessage::Outcome { proposal, commit } => {
                self.on_outcome(now, proposal, commit, &mut out);
            }
            GroupMessage::StaleFence(fence) if fence > self.fence => {
                out.push(CoordinatorAction::StepDown(fence));
            }
            _ => {}
        }
        out
    }

    /// Lets time pass. Call it several times in each poll interval.
    pub fn on_tick(&mut self, now: Duration) -> Vec<CoordinatorAction> {
        let mut out = Vec::new();
        self.poll(now, &mut out);
        self.advance(now, &mut out);
        out
    }

    /// What operators see.
    #[must_use]
    pub fn status(&self, now: Duration) -> GroupStatus {
        let steps = self.reports.iter().flatten().map(|s| s.report.next_step);
        let ranks = 0..self.reports.len() as RankId;
        GroupStatus {
            group: self.group.clone(),
            fence: self.fence,
            phase: match self.phase {
                Phase::Gathering => GroupPhase::Gathering,
                Phase::Steady => GroupPhase::Steady,
                Phase::Staging(_) => GroupPhase::Staging,
                Phase::Deciding(..) => GroupPhase::Deciding,
            },
            map: self.planner.map().map(ExpertMap::id),
            step: steps.max().unwrap_or(0),
            skew: self.planner.skew(),
            stragglers: self.planner.stragglers(),
            silent: ranks
                .filter(|r| self.fresh_report(now, *r).is_none())
                .collect(),
            last_switch: self.last_switch.clone(),
        }
    }

    fn poll(&mut self, now: Duration, out: &mut Actions) {
        let every = match self.phase {
            Phase::Steady => self.cfg.poll_interval,
            _ => self.cfg.switch_poll_interval,
        };
        if self.last_polled_at.is_some_and(|at| now < at + every) {
            return;
        }
        self.last_polled_at = Some(now);
        let want_map = self.wants_map && matches!(self.phase, Phase::Gathering);
        self.send_to_all(&GroupMessage::Poll { want_map }, out);
    }

    fn send_to_all(&self, message: &GroupMessage, out: &mut Actions) {
        let ranks = 0..self.reports.len() as RankId;
        out.extend(ranks.map(|r| CoordinatorAction::Send(r, message.clone())));
    }

    fn fresh_report(&self, now: Duration, rank: RankId) -> Option<&RankReport> {
        let received = self.reports[usize::from(rank)].as_ref()?;
        (now < received.received_at + self.cfg.report_max_age).then_some(&received.report)
    }

    /// The reports of all ranks, if all are fresh.
    fn all_fresh_reports(&self, now: Duration) -> Option<Vec<&RankReport>> {
        let ranks = 0..self.reports.len() as RankId;
        ranks.map(|r| self.fresh_report(now, r)).collect()
    }

    fn advance(&mut self, now: Duration, out: &mut Actions) {
        match &self.phase {
            Phase::Gathering => self.gather(now, out),
            Phase::Steady => self.plan_if_due(now, out),
            Phase::Staging(_) => self.advance_staging(now, out),
            Phase::Deciding(..) => self.advance_decision(now, out),
        }
    }
}
