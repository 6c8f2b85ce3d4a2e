//! The state machine that plans and proposes the switches of one group.
//!
//! It runs under one fencing number while its process holds the group's lease. It decides nothing:
//! if it crashes at any point, the ranks finish what it proposed, and the next coordinator learns
//! from their reports which map is in force.

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
    /// How the planner weighs skew against the bytes to read.
    pub planner: PlannerConfig,
    /// Interval between polls of the ranks while no switch is in progress.
    pub poll_interval: Duration,
    /// Interval between polls of the ranks during a switch and while gathering reports.
    pub switch_poll_interval: Duration,
    /// Minimum time between two plans.
    pub plan_interval: Duration,
    /// Age from which a rank's report is ignored.
    pub report_max_age: Duration,
    /// Interval at which `Prepare` is sent again to ranks that have not begun to read the map.
    pub prepare_retry_interval: Duration,
    /// Time after which a switch is aborted if not all ranks have loaded the weights.
    pub stage_timeout: Duration,
    /// Time after which a proposal without a known outcome is abandoned and the reports are
    /// gathered again; also the time after which a map that no rank has counts as lost.
    pub decide_timeout: Duration,
    /// How far ahead of the current step a proposed map comes into force.
    pub lead_time: Duration,
    /// Pause after a failed switch before the next plan.
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

/// An action that the driver has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to a rank; losing it is harmless.
    Send(RankId, GroupMessage),
    /// Show the group's state to operators.
    Publish(Box<GroupStatus>),
    /// Stop coordinating, since this higher fencing number exists.
    StepDown(Fence),
}

/// The coordinator of one group under one fencing number.
#[derive(Clone, Debug)]
pub struct GroupCoordinator {
    cfg: CoordinatorConfig,
    group: GroupName,
    fence: Fence,
    planner: Planner,
    /// Last report of each rank.
    reports: Vec<Option<ReceivedReport>>,
    phase: Phase,
    last_polled_at: Option<Duration>,
    /// When `Prepare` was last sent.
    last_prepare_at: Option<Duration>,
    last_planned_at: Option<Duration>,
    /// No switch is planned before this time.
    backoff_until: Duration,
    /// Number of proposals so far.
    attempts: u32,
    /// Whether polls request the map in force.
    wants_map: bool,
    /// Since when the reports show that no rank has the map in force.
    maps_lost_since: Option<Duration>,
    last_switch: Option<LastSwitch>,
    step_rate: StepRate,
}

/// A rank's report with the time of its arrival.
#[derive(Clone, Debug)]
struct ReceivedReport {
    received_at: Duration,
    report: RankReport,
}

/// Current activity; see [`GroupPhase`].
#[derive(Clone, Debug)]
enum Phase {
    Gathering,
    Steady,
    Staging(Box<PendingSwitch>),
    Deciding(Box<PendingSwitch>, Proposal),
}

/// A switch that is being staged or decided.
#[derive(Clone, Debug)]
struct PendingSwitch {
    plan: Plan,
    map: Arc<ExpertMap>,
    base: Option<MapId>,
    /// When staging began, or when the switch was proposed.
    started_at: Duration,
}

/// Steps per second of the group, estimated from successive reports.
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

/// Maximum number of moves shown in a status.
const STATUS_MAX_MOVES: usize = 8;

impl GroupCoordinator {
    /// Creates the coordinator of a process that has just won the election.
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

    /// The fencing number under which it coordinates.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Handles a message from a rank.
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

    /// Polls the ranks and advances the current switch. Must be called several times in each poll
    /// interval.
    pub fn on_tick(&mut self, now: Duration) -> Vec<CoordinatorAction> {
        let mut out = Vec::new();
        self.poll(now, &mut out);
        self.advance(now, &mut out);
        out
    }

    /// State of the group for operators.
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

    /// The rank's last report, unless it is too old.
    fn fresh_report(&self, now: Duration, rank: RankId) -> Option<&RankReport> {
        let received = self.reports[usize::from(rank)].as_ref()?;
        (now < received.received_at + self.cfg.report_max_age).then_some(&received.report)
    }

    /// The reports of all ranks, or `None` if one is missing or too old.
    fn all_fresh_reports(&self, now: Duration) -> Option<Vec<&RankReport>> {
        let ranks = 0..self.reports.len() as RankId;
        ranks.map(|r| self.fresh_report(now, r)).collect()
    }

    /// Does what the current phase requires.
    fn advance(&mut self, now: Duration, out: &mut Actions) {
        match &self.phase {
            Phase::Gathering => self.gather(now, out),
            Phase::Steady => self.plan_if_due(now, out),
            Phase::Staging(_) => self.advance_staging(now, out),
            Phase::Deciding(..) => self.advance_decision(now, out),
        }
    }
}
