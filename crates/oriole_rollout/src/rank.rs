//! The state machine that each agent runs for its rank.
//!
//! It answers the coordinator, votes, counts the votes if it is the closer, and sends its engine
//! the orders that follow from the outcomes. An agent keeps no state across restarts, so a new one
//! takes no part until it has learned from its engine and all peers what earlier runs may have
//! done.

mod engine_orders;
mod fetching;
mod syncing;
mod vote_count;
mod voting;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::{Fence, Incarnation};

use crate::engine::{EngineOrder, EngineState};
use crate::messages::{Envelope, GroupMessage, Party, Proposal, RankId, RankReport, SwitchId};
use crate::peer_runs::{PeerRuns, RunState};
use engine_orders::OrderTracker;
use vote_count::VoteCount;

/// Time settings of a [`RankAgent`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankConfig {
    /// Interval at which an unanswered vote, proposal or engine order is sent again.
    pub resend_interval: Duration,
    /// Interval at which an unanswered `Hello` or map request is sent again.
    pub hello_interval: Duration,
    /// Time after which the closer aborts a switch for missing votes. Shorter than the lead time of
    /// proposals, so that a rank that does not vote delays no step.
    pub vote_timeout: Duration,
}

impl Default for RankConfig {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(50),
            hello_interval: Duration::from_millis(200),
            vote_timeout: Duration::from_millis(300),
        }
    }
}

/// An action that the driver has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum RankAction {
    /// Send a message; losing it is harmless.
    Send(Party, GroupMessage),
    /// Send an order to the engine; pass the resulting state to `on_engine_state`.
    Order(EngineOrder),
    /// Read the engine's state and pass it to `on_engine_state`.
    PollEngine,
    /// Read a staged map back from the engine and pass it to `on_map`.
    ReadMap(MapId),
    /// Replace this agent by a new one with a new incarnation.
    Restart,
}

/// The state machine of one rank.
///
/// It takes messages, engine states and the time, and returns actions. A state of the engine may be
/// outdated, but states must arrive in the order in which the engine returned them.
#[derive(Clone, Debug)]
pub struct RankAgent {
    cfg: RankConfig,
    own_rank: RankId,
    ranks: usize,
    incarnation: Incarnation,
    peer_runs: PeerRuns,
    /// Whether the agent is up to date and takes part.
    synced: bool,
    last_hello_at: Option<Duration>,
    last_fetch_at: Option<Duration>,
    /// Highest fencing number seen.
    fence: Fence,
    /// Last known state of the engine.
    engine: Option<EngineState>,
    order_tracker: OrderTracker,
    maps: BTreeMap<MapId, Arc<ExpertMap>>,
    /// Map that the coordinator wants staged next.
    prepared: Option<MapId>,
    /// Newest known committed switch.
    committed: Option<Proposal>,
    /// Switch that this rank has voted for, or will once its engine holds.
    undecided: Option<Undecided>,
    /// Newest switch that was voted on or whose outcome is known. Older ones are not considered.
    highest_handled: SwitchId,
    /// Votes received, while this rank is the closer of a switch.
    vote_count: Option<VoteCount>,
    /// Load to include in the next report.
    tokens: Vec<Vec<f32>>,
    speed: Option<f32>,
}

/// A switch whose outcome the rank does not know.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Undecided {
    proposal: Proposal,
    /// When the rank last sent its vote; `None` before the first, when it may still refuse.
    voted_at: Option<Duration>,
    /// Run of the engine that must hold before the step.
    engine_run: Incarnation,
}

type Actions = Vec<RankAction>;

impl RankAgent {
    /// Creates an agent that knows nothing but its own run.
    #[must_use]
    pub fn new(cfg: RankConfig, own_rank: RankId, ranks: usize, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            own_rank,
            ranks,
            incarnation,
            peer_runs: PeerRuns::new(own_rank, ranks, incarnation),
            synced: false,
            last_hello_at: None,
            last_fetch_at: None,
            fence: Fence(0),
            engine: None,
            order_tracker: OrderTracker::default(),
            maps: BTreeMap::new(),
            prepared: None,
            committed: None,
            undecided: None,
            highest_handled: SwitchId::default(),
            vote_count: None,
            tokens: Vec::new(),
            speed: None,
        }
    }

    /// Number of this agent's run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the agent is up to date and takes part in switches.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Newest known committed switch.
    #[must_use]
    pub fn committed(&self) -> Option<Proposal> {
        self.committed
    }

    /// Sets the load for the next report: tokens by layer and slot, and the rank's speed.
    pub fn observe_load(&mut self, tokens: Vec<Vec<f32>>, speed: Option<f32>) {
        self.tokens = tokens;
        self.speed = speed;
    }

    /// Handles a message.
    pub fn on_message(&mut self, now: Duration, envelope: Envelope) -> Vec<RankAction> {
        let mut out = Vec::new();
        match envelope.from {
            Party::Coordinator(fence) => {
                self.on_coordinator_message(now, fence, envelope.message, &mut out);
            }
            Party::Rank(rank) if usize::from(rank) < self.ranks && rank != self.own_rank => {
                self.on_peer_message(now, rank, envelope.incarnation, envelope.message, &mut out);
            }
            Party::Rank(_) => {}
        }
        self.advance(now, &mut out);
        out
    }

    /// Handles a state returned by the engine.
    pub fn on_engine_state(&mut self, now: Duration, state: EngineState) -> Vec<RankAction> {
        let mut out = Vec::new();
        self.fence = self.fence.max(state.fence);
        if let Some(decided) = state.decided {
            self.record_commit(decided);
        }
        self.order_tracker.on_state(&state);
        self.engine = Some(state);
        self.advance(now, &mut out);
        out
    }

    /// Handles a map that was read from the engine.
    pub fn on_map(&mut self, now: Duration, map: Arc<ExpertMap>) -> Vec<RankAction> {
        let mut out = Vec::new();
        self.store_map(map);
        self.advance(now, &mut out);
        out
    }

    /// Polls the engine and sends messages and orders that are due. Must be called at least every
    /// [`RankConfig::resend_interval`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<RankAction> {
        let mut out = vec![RankAction::PollEngine];
        self.advance(now, &mut out);
        out
    }

    fn on_coordinator_message(
        &mut self,
        now: Duration,
        fence: Fence,
        message: GroupMessage,
        out: &mut Actions,
    ) {
        if fence < self.fence {
            counter!("oriole_group_refusals_total", "reason" => "stale_fence").increment(1);
            let reply = GroupMessage::StaleFence(self.fence);
            out.push(RankAction::Send(Party::Coordinator(fence), reply));
            return;
        }
        if !self.synced {
            if let GroupMessage::Poll { .. } = message {
                self.report(fence, false, out);
            }
            return;
        }
        self.fence = fence;
        match message {
            GroupMessage::Poll { want_map } => self.report(fence, want_map, out),
            GroupMessage::Prepare(map) => self.on_prepare(map),
            GroupMessage::Propose(p) if p.switch.fence == fence => self.on_proposal(now, p, out),
            _ => {}
        }
    }

    fn on_peer_message(
        &mut self,
        now: Duration,
        from: RankId,
        incarnation: Incarnation,
        message: GroupMessage,
        out: &mut Actions,
    ) {
        match self.peer_runs.classify(from, incarnation) {
            RunState::Live => {}
            RunState::Replaced => {
                counter!("oriole_group_refusals_total", "reason" => "stale_run").increment(1);
                let reply = GroupMessage::StaleRun(incarnation);
                out.push(RankAction::Send(Party::Rank(from), reply));
                return;
            }
            RunState::Unseen => {
                let introduces_run = matches!(message, GroupMessage::Hello)
                    || (matches!(message, GroupMessage::Welcome(_))
                        && self.peer_runs.is_unknown(from));
                if !introduces_run {
                    return;
                }
                self.peer_runs.replace_live(from, incarnation);
                self.forget_vote(from);
            }
        }
        match message {
            GroupMessage::Hello => self.on_hello(from, incarnation, out),
            GroupMessage::Welcome(welcome) => self.on_welcome(from, *welcome),
            GroupMessage::WantMap(id) => self.on_map_request(from, id, out),
            GroupMessage::HaveMap(map) => self.store_map(map),
            GroupMessage::StaleRun(run) if run == self.incarnation => out.push(RankAction::Restart),
            GroupMessage::Vote { proposal, yes } => self.on_vote(now, from, proposal, yes, out),
            GroupMessage::Propose(p) if from == p.closer => self.on_forwarded_proposal(now, p, out),
            GroupMessage::Outcome { proposal, commit } if from == proposal.closer => {
                self.on_outcome(proposal, commit);
            }
            _ => {}
        }
    }

    /// Records the map to stage next; an earlier one that is not needed is dropped. Ignored while a
    /// switch is undecided, and for a map that is no newer than the committed one.
    fn on_prepare(&mut self, map: Arc<ExpertMap>) {
        let id = map.id();
        let newer = self.committed.is_none_or(|c| id.version > c.next.version);
        if newer && self.undecided.is_none() {
            self.maps.insert(id, map);
            self.prepared = Some(id);
            self.drop_unneeded_maps();
        }
    }

    fn on_outcome(&mut self, proposal: Proposal, commit: bool) {
        if commit {
            self.record_commit(proposal);
        }
        self.undecided.take_if(|u| u.proposal == proposal);
        self.highest_handled = self.highest_handled.max(proposal.switch);
    }

    /// Records a committed switch. A commit is final.
    fn record_commit(&mut self, proposal: Proposal) {
        let newer = |c: Proposal| proposal.next.version > c.next.version;
        if !self.committed.is_none_or(newer) {
            return;
        }
        self.committed = Some(proposal);
        self.fence = self.fence.max(proposal.switch.fence);
        self.highest_handled = self.highest_handled.max(proposal.switch);
        self.undecided.take_if(|u| u.proposal == proposal);
        self.vote_count.take_if(|c| c.proposal == proposal);
        self.prepared
            .take_if(|t| t.version <= proposal.next.version);
        self.drop_unneeded_maps();
    }

    fn store_map(&mut self, map: Arc<ExpertMap>) {
        self.maps.entry(map.id()).or_insert(map);
        self.drop_unneeded_maps();
    }

    fn drop_unneeded_maps(&mut self) {
        let needed = self.needed_maps();
        self.maps.retain(|id, _| needed.contains(id));
    }

    /// Maps that are in force, will come into force, or may still come into force.
    fn needed_maps(&self) -> Vec<MapId> {
        let engine = self.engine.as_ref();
        let is_past = |c: Proposal| engine.is_some_and(|e| e.next_step >= c.at_step);
        let base = self.committed.filter(|c| !is_past(*c)).and_then(|c| c.base);
        let undecided = self.undecided.map(|u| u.proposal.next);
        let next = self.committed.map(|c| c.next);
        let active = engine.and_then(|e| e.active);
        let ids = [base, next, undecided, active, self.prepared];
        ids.into_iter().flatten().collect()
    }

    fn report(&mut self, fence: Fence, want_map: bool, out: &mut Actions) {
        let engine = self.engine.as_ref();
        let next_map = |c: Proposal| self.maps.get(&c.next).cloned();
        let report = RankReport {
            next_step: engine.map_or(0, |e| e.next_step),
            active: engine.and_then(|e| e.active),
            committed: self.committed,
            undecided: self.undecided.map(|u| u.proposal),
            synced: self.synced,
            staged: engine.map(|e| e.staged.clone()).unwrap_or_default(),
            loading: engine.and_then(|e| e.loading),
            failed: engine.and_then(|e| e.failed),
            tokens: std::mem::take(&mut self.tokens),
            speed: self.speed.take(),
            map: self.committed.filter(|_| want_map).and_then(next_map),
        };
        let message = GroupMessage::Report(Box::new(report));
        out.push(RankAction::Send(Party::Coordinator(fence), message));
    }

    fn advance(&mut self, now: Duration, out: &mut Actions) {
        self.send_hellos(now, out);
        self.advance_vote(now, out);
        self.count_votes(now, out);
        self.order_engine(now, out);
        self.fetch_maps(now, out);
    }
}
