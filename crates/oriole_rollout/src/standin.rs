//! An in-memory engine without weights, for one rank, used in tests and experiments.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::{Fence, Incarnation};

use crate::engine::{EngineOp, EngineOrder, EngineState};

/// Settings of a [`StandinEngine`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StandinConfig {
    /// Whether orders with a lower fencing number than an obeyed one are ignored.
    pub checks_fencing: bool,
}

/// A simulated engine of one rank.
///
/// The caller controls when loads finish and steps start.
#[derive(Clone, Debug)]
pub struct StandinEngine {
    cfg: StandinConfig,
    state: EngineState,
    obeyed_fences: Vec<Fence>,
    maps: BTreeMap<MapId, Arc<ExpertMap>>,
}

impl StandinEngine {
    /// Creates an engine without maps.
    #[must_use]
    pub fn new(cfg: StandinConfig, run: Incarnation, next_step: u64) -> Self {
        let state = EngineState {
            run,
            sequence: 0,
            fence: Fence(0),
            next_step,
            active: None,
            armed: None,
            decided: None,
            hold: None,
            staged: Vec::new(),
            loading: None,
            failed: None,
        };
        Self {
            cfg,
            state,
            obeyed_fences: Vec::new(),
            maps: BTreeMap::new(),
        }
    }

    /// Current state.
    #[must_use]
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Fencing numbers of all obeyed compare-and-swap orders, oldest first.
    #[must_use]
    pub fn obeyed_fences(&self) -> &[Fence] {
        &self.obeyed_fences
    }

    /// A map that is staged or being loaded.
    #[must_use]
    pub fn map(&self, id: MapId) -> Option<&Arc<ExpertMap>> {
        self.maps.get(&id)
    }

    /// Applies an order, or ignores it if its checks fail.
    pub fn order(&mut self, order: &EngineOrder) {
        if order.run != self.state.run {
            return;
        }
        if self.cfg.checks_fencing && order.fence < self.state.fence {
            return;
        }
        if !order.op.is_checked() {
            return self.apply_weight_order(&order.op);
        }
        if order.expect == self.state.sequence && self.apply_checked(&order.op) {
            self.state.sequence += 1;
            self.state.fence = self.state.fence.max(order.fence);
            self.obeyed_fences.push(order.fence);
        }
    }

    /// Finishes the current load, if any, successfully or not.
    pub fn finish_load(&mut self, succeeded: bool) {
        let Some(id) = self.state.loading.take() else {
            return;
        };
        if succeeded {
            self.state.staged.push(id);
        } else {
            self.state.failed = Some(id);
        }
    }

    /// The map to use for the next step, or `None` if the engine may not start it.
    #[must_use]
    pub fn next_step_map(&self) -> Option<MapId> {
        let step = self.state.next_step;
        if self.state.hold.is_some_and(|h| h.at_step <= step) {
            return None;
        }
        match self.state.armed {
            Some(p) if p.at_step <= step => Some(p.next),
            _ => self.state.active,
        }
    }

    /// Starts the next step with the map returned by [`Self::next_step_map`].
    pub fn begin_step(&mut self) {
        let step = self.state.next_step;
        if let Some(p) = self.state.armed.take_if(|p| p.at_step <= step) {
            self.state.active = Some(p.next);
        }
        self.state.next_step += 1;
    }

    fn apply_weight_order(&mut self, op: &EngineOp) {
        match op {
            EngineOp::Stage(map) => {
                let id = map.id();
                if self.state.loading.is_none() && !self.state.staged.contains(&id) {
                    self.state.loading = Some(id);
                    self.maps.insert(id, map.clone());
                    self.state.failed = None;
                }
            }
            EngineOp::Unstage(id) if !self.is_in_use(*id) => {
                self.state.staged.retain(|s| s != id);
                self.state.loading.take_if(|l| l == id);
                self.maps.remove(id);
            }
            _ => {}
        }
    }

    fn is_in_use(&self, id: MapId) -> bool {
        self.state.active == Some(id) || self.state.armed.is_some_and(|p| p.next == id)
    }

    /// Applies a compare-and-swap order; returns whether it had an effect.
    fn apply_checked(&mut self, op: &EngineOp) -> bool {
        let state = &mut self.state;
        let held = state.hold.map(|h| h.switch);
        match op {
            EngineOp::Adopt => true,
            EngineOp::Hold(hold) if held.is_none() && state.next_step <= hold.at_step => {
                state.hold = Some(*hold);
                true
            }
            EngineOp::Arm(p) if held == Some(p.switch) && state.staged.contains(&p.next) => {
                state.hold = None;
                state.armed = Some(*p);
                state.decided = Some(*p);
                true
            }
            EngineOp::Release(switch) if held == Some(*switch) => {
                state.hold = None;
                true
            }
            EngineOp::Start { map, decided }
                if state.active.is_none() && state.staged.contains(map) =>
            {
                state.active = Some(*map);
                state.decided = Some(*decided);
                true
            }
            _ => false,
        }
    }
}
