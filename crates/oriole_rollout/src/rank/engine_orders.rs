//! Sending the engine the orders that follow from the outcomes of switches.

use std::sync::Arc;
use std::time::Duration;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::Incarnation;

use super::{Actions, RankAction, RankAgent};
use crate::engine::{EngineOp, EngineOrder, EngineState, Hold};
use crate::messages::{Proposal, SwitchId};

/// Tracks which orders to the engine are unanswered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct OrderTracker {
    /// Run and sequence of the engine that the last `Adopt` was sent for.
    adopt_sent: Option<(Incarnation, u64)>,
    /// Run of the engine that has obeyed an `Adopt` of this agent.
    adopted_run: Option<Incarnation>,
    /// Whether any run of the engine has done so.
    has_adopted: bool,
    /// Run and sequence that the last compare-and-swap order expects, and when it was sent.
    unanswered: Option<(Incarnation, u64, Duration)>,
    /// When the last `Stage` or `Unstage` was sent.
    weights_sent_at: Option<Duration>,
}

impl OrderTracker {
    /// Whether the engine has obeyed this run of the agent, so that orders of earlier runs can have
    /// no effect any more.
    pub fn is_adopted(&self) -> bool {
        self.has_adopted
    }

    /// Whether an unanswered order may still change the engine's state.
    pub fn has_order_in_flight(&self) -> bool {
        self.unanswered.is_some()
    }

    /// Updates the tracked orders from a state returned by the engine.
    pub fn on_state(&mut self, state: &EngineState) {
        let adopted = |(run, sequence)| run == state.run && state.sequence > sequence;
        if self.adopt_sent.is_some_and(adopted) {
            self.adopted_run = Some(state.run);
            self.has_adopted = true;
        }
        if self
            .unanswered
            .is_some_and(|(run, sequence, _)| run != state.run || sequence != state.sequence)
        {
            self.unanswered = None;
        }
    }
}

impl RankAgent {
    /// Sends the engine the orders it needs next, if any.
    pub(super) fn order_engine(&mut self, now: Duration, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        if self.order_tracker.adopted_run != Some(engine.run) {
            self.order_tracker.adopt_sent = Some((engine.run, engine.sequence));
            return self.send_order(now, EngineOp::Adopt, out);
        }
        if !self.synced {
            return;
        }
        if let Some(op) = self.checked_op(engine) {
            self.send_order(now, op, out);
        }
        self.order_weights(now, out);
    }

    /// Sends a compare-and-swap order, unless one is unanswered and was sent recently.
    fn send_order(&mut self, now: Duration, op: EngineOp, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        let (run, expect) = (engine.run, engine.sequence);
        let is_recent = |(_, _, at): (_, _, Duration)| now < at + self.cfg.resend_interval;
        if self.order_tracker.unanswered.is_some_and(is_recent) {
            return;
        }
        self.order_tracker.unanswered = Some((run, expect, now));
        out.push(RankAction::Order(EngineOrder {
            run,
            expect,
            fence: self.fence,
            op,
        }));
    }

    /// The next compare-and-swap order that the engine needs.
    fn checked_op(&self, engine: &EngineState) -> Option<EngineOp> {
        if let Some(op) = engine.hold.and_then(|h| self.lift_hold(engine, h.switch)) {
            return Some(op);
        }
        if let Some(p) = self.missing_hold(engine) {
            return Some(EngineOp::Hold(Hold {
                switch: p.switch,
                at_step: p.at_step,
            }));
        }
        self.start_op(engine)
    }

    /// The order that lifts a hold whose switch is decided.
    fn lift_hold(&self, engine: &EngineState, held_for: SwitchId) -> Option<EngineOp> {
        match self.undecided {
            Some(u) if u.proposal.switch == held_for => return None,
            // An engine without a map runs no step, so its old hold is released for the new vote.
            Some(_) if engine.active.is_none() => return Some(EngineOp::Release(held_for)),
            _ => {}
        }
        match self.committed {
            Some(c) if c.switch == held_for => {
                let is_staged = engine.staged.contains(&c.next);
                let has_active = engine.active.is_some() || c.base.is_none();
                (is_staged && has_active).then_some(EngineOp::Arm(c))
            }
            _ => Some(EngineOp::Release(held_for)),
        }
    }

    /// The switch that the engine has to stop for, if it has no hold yet.
    fn missing_hold(&self, engine: &EngineState) -> Option<Proposal> {
        if engine.hold.is_some() {
            return None;
        }
        if let Some(u) = self.undecided {
            return (u.engine_run == engine.run && engine.next_step <= u.proposal.at_step)
                .then_some(u.proposal);
        }
        let pending = |c: &Proposal| engine.armed != Some(*c) && engine.next_step < c.at_step;
        let is_at_base = |c: &Proposal| engine.active == c.base || engine.active.is_none();
        self.committed.filter(|c| pending(c) && is_at_base(c))
    }

    /// The order that starts an engine without a map with the one in force at its next step.
    fn start_op(&self, engine: &EngineState) -> Option<EngineOp> {
        let decided = self.committed.filter(|_| engine.active.is_none())?;
        if self.undecided.is_some() {
            return None;
        }
        let map = self.map_at_step(engine.next_step, &decided)?;
        let is_staged = engine.staged.contains(&map);
        is_staged.then_some(EngineOp::Start { map, decided })
    }

    /// The map in force at a step, given the newest committed switch.
    fn map_at_step(&self, step: u64, decided: &Proposal) -> Option<MapId> {
        if step >= decided.at_step {
            Some(decided.next)
        } else {
            decided.base
        }
    }

    /// Makes the engine load the weights it needs and free those it does not need.
    fn order_weights(&mut self, now: Duration, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        let due = |at: Duration| now >= at + self.cfg.resend_interval;
        if !self.order_tracker.weights_sent_at.is_none_or(due) {
            return;
        }
        let needed = self.needed_maps();
        let unused = engine.staged.iter().find(|id| !needed.contains(id));
        let op = match (unused, self.next_map_to_stage(engine)) {
            (Some(id), _) => EngineOp::Unstage(*id),
            (None, Some(map)) => EngineOp::Stage(map),
            (None, None) => return,
        };
        let (run, expect, fence) = (engine.run, engine.sequence, self.fence);
        self.order_tracker.weights_sent_at = Some(now);
        out.push(RankAction::Order(EngineOrder {
            run,
            expect,
            fence,
            op,
        }));
    }

    /// The first map that the engine needs but has neither staged nor begun to read. A prepared map
    /// that failed to load is not tried again; the coordinator sees the failure in the report.
    fn next_map_to_stage(&self, engine: &EngineState) -> Option<Arc<ExpertMap>> {
        let decided = self.committed;
        let in_force = decided.and_then(|c| self.map_at_step(engine.next_step, &c));
        let wanted = [in_force, decided.map(|c| c.next), self.prepared];
        let missing = |id: &MapId| {
            let load_failed = engine.failed == Some(*id) && self.prepared == Some(*id);
            !engine.staged.contains(id) && engine.loading != Some(*id) && !load_failed
        };
        let ids = wanted.into_iter().flatten().filter(missing);
        ids.filter_map(|id| self.maps.get(&id).cloned()).next()
    }
}
