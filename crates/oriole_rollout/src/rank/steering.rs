//! Steering the own engine towards what has been decided.

use std::sync::Arc;
use std::time::Duration;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::Incarnation;

use super::{Actions, RankAction, RankAgent};
use crate::engine::{EngineOp, EngineOrder, EngineState, Hold};
use crate::messages::{Proposal, SwitchId};

/// What is known about the orders on their way to the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Steering {
    adopting: Option<(Incarnation, u64)>,
    adopted: Option<Incarnation>,
    ever_adopted: bool,
    sent: Option<(Incarnation, u64, Duration)>,
    weights_sent: Option<Duration>,
}

impl Steering {
    /// Whether the engine has obeyed this run of the agent, so that no earlier run's order can
    /// have an effect any more.
    pub fn is_adopted(&self) -> bool {
        self.ever_adopted
    }

    /// Whether an order is on its way that may still change the engine's state.
    pub fn is_waiting(&self) -> bool {
        self.sent.is_some()
    }

    pub fn seen(&mut self, state: &EngineState) {
        let adopted = |(run, sequence)| run == state.run && state.sequence > sequence;
        if self.adopting.is_some_and(adopted) {
            self.adopted = Some(state.run);
            self.ever_adopted = true;
        }
        if self
            .sent
            .is_some_and(|(run, sequence, _)| run != state.run || sequence != state.sequence)
        {
            self.sent = None;
        }
    }
}

impl RankAgent {
    /// Gives the engine the next order it needs, if any.
    pub(super) fn steer(&mut self, now: Duration, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        if self.steering.adopted != Some(engine.run) {
            self.steering.adopting = Some((engine.run, engine.sequence));
            return self.order(now, EngineOp::Adopt, out);
        }
        if !self.synced {
            return;
        }
        if let Some(op) = self.checked_op(engine) {
            self.order(now, op, out);
        }
        self.order_weights(now, out);
    }

    fn order(&mut self, now: Duration, op: EngineOp, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        let (run, expect) = (engine.run, engine.sequence);
        let waiting = |(_, _, at): (_, _, Duration)| now < at + self.cfg.resend_interval;
        if self.steering.sent.is_some_and(waiting) {
            return;
        }
        self.steering.sent = Some((run, expect, now));
        out.push(RankAction::Order(EngineOrder {
            run,
            expect,
            fence: self.fence,
            op,
        }));
    }

    /// The next order that decides which map the engine runs.
    fn checked_op(&self, engine: &EngineState) -> Option<EngineOp> {
        if let Some(op) = engine.hold.and_then(|h| self.lift(engine, h.switch)) {
            return Some(op);
        }
        if let Some(p) = self.wanted_hold(engine) {
            return Some(EngineOp::Hold(Hold {
                switch: p.switch,
                at_step: p.at_step,
            }));
        }
        self.start(engine)
    }

    /// Lifts a hold whose switch is decided.
    fn lift(&self, engine: &EngineState, held: SwitchId) -> Option<EngineOp> {
        match self.undecided {
            Some(u) if u.proposal.switch == held => return None,
            // An engine that uses no map can run no step: the hold makes room for the vote.
            Some(_) if engine.active.is_none() => return Some(EngineOp::Release(held)),
            _ => {}
        }
        match self.committed {
            Some(c) if c.switch == held => {
                let usable = engine.staged.contains(&c.next);
                let active = engine.active.is_some() || c.base.is_none();
                (usable && active).then_some(EngineOp::Arm(c))
            }
            _ => Some(EngineOp::Release(held)),
        }
    }

    /// The switch that the engine has to hold for but does not.
    fn wanted_hold(&self, engine: &EngineState) -> Option<Proposal> {
        if engine.hold.is_some() {
            return None;
        }
        if let Some(u) = self.undecided {
            return (u.run == engine.run && engine.next_step <= u.proposal.at_step)
                .then_some(u.proposal);
        }
        let pending = |c: &Proposal| engine.armed != Some(*c) && engine.next_step < c.at_step;
        let before = |c: &Proposal| engine.active == c.base || engine.active.is_none();
        self.committed.filter(|c| pending(c) && before(c))
    }

    /// Starts an engine that uses no map with the one that is in force at its next step.
    fn start(&self, engine: &EngineState) -> Option<EngineOp> {
        let decided = self.committed.filter(|_| engine.active.is_none())?;
        if self.undecided.is_some() {
            return None;
        }
        let map = self.map_at(engine.next_step, &decided)?;
        let usable = engine.staged.contains(&map);
        usable.then_some(EngineOp::Start { map, decided })
    }

    fn map_at(&self, step: u64, decided: &Proposal) -> Option<MapId> {
        if step >= decided.at_step {
            Some(decided.next)
        } else {
            decided.base
        }
    }

    /// Has the engine read the weights it needs and free those it does not.
    fn order_weights(&mut self, now: Duration, out: &mut Actions) {
        let Some(engine) = &self.engine else { return };
        let due = |at: Duration| now >= at + self.cfg.resend_interval;
        if !self.steering.weights_sent.is_none_or(due) {
            return;
        }
        let used = self.used_maps();
        let unused = engine.staged.iter().find(|id| !used.contains(id));
        let op = match (unused, self.wanted_weights(engine)) {
            (Some(id), _) => EngineOp::Unstage(*id),
            (None, Some(map)) => EngineOp::Stage(map),
            (None, None) => return,
        };
        let (run, expect, fence) = (engine.run, engine.sequence, self.fence);
        self.steering.weights_sent = Some(now);
        out.push(RankAction::Order(EngineOrder {
            run,
            expect,
            fence,
            op,
        }));
    }

    /// The first map that the engine needs but neither holds nor reads. A map that only may come
    /// into force and failed to load is left alone; the coordinator is told.
    fn wanted_weights(&self, engine: &EngineState) -> Option<Arc<ExpertMap>> {
        let decided = self.committed;
        let in_force = decided.and_then(|c| self.map_at(engine.next_step, &c));
        let wanted = [in_force, decided.map(|c| c.next), self.target];
        let missing = |id: &MapId| {
            let gave_up = engine.failed == Some(*id) && self.target == Some(*id);
            !engine.staged.contains(id) && engine.loading != Some(*id) && !gave_up
        };
        let ids = wanted.into_iter().flatten().filter(missing);
        ids.filter_map(|id| self.maps.get(&id).cloned()).next()
    }
}
