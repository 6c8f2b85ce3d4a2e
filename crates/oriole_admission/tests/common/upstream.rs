//! Model of an upstream: it is slow while cold, and panics if it gets more requests than allowed.

use std::collections::BTreeMap;

use oriole_admission::prelude::WorkId;

use super::{COLD, WARM};

/// Steps per token while warm and while cold.
const TOKEN_STEPS: [u64; 2] = [1, 4];
/// Minimum tokens of a request, the first included.
const TOKENS: u32 = 8;
/// Completions of requests started while cold after which the upstream is warm.
const WARM_UP_COMPLETIONS: u32 = 4;
/// Steps until the upstream stops the work of closed connections.
const DISCONNECT_STEPS: u64 = 3;

/// Event that is delivered to the agent.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Output(WorkId),
    Done(WorkId),
    Cancelled(WorkId),
    Lost,
}

#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub in_flight: u32,
    pub cold: bool,
}

#[derive(Clone, Debug)]
struct Run {
    /// Whether it was started while the upstream was cold and the upstream is still cold.
    started_cold: bool,
    next_output_at: u64,
    outputs_left: u32,
    stop_at: Option<u64>,
    connected: bool,
}

#[derive(Clone, Debug, Default)]
pub struct UpstreamModel {
    warm: bool,
    completed: u32,
    runs: BTreeMap<WorkId, Run>,
    events: Vec<Event>,
    /// Largest number of requests at once that were started while cold.
    pub max_started_cold: u32,
}

impl UpstreamModel {
    pub fn arrive(&mut self, step: u64, id: WorkId) {
        let run = Run {
            started_cold: !self.warm,
            next_output_at: step + 2 * TOKEN_STEPS[usize::from(!self.warm)],
            outputs_left: TOKENS + (id.0 % 5) as u32,
            stop_at: None,
            connected: true,
        };
        self.runs.insert(id, run);
        assert!(self.runs.len() as u32 <= WARM, "above the warm concurrency");
        let started_cold = self.runs.values().filter(|r| r.started_cold).count() as u32;
        self.max_started_cold = self.max_started_cold.max(started_cold);
        assert!(started_cold <= COLD, "above the cold concurrency");
    }

    pub fn step(&mut self, step: u64) {
        let gap = TOKEN_STEPS[usize::from(!self.warm)];
        let ids: Vec<_> = self.runs.keys().copied().collect();
        for id in ids {
            self.step_run(step, gap, id);
        }
    }

    fn step_run(&mut self, step: u64, gap: u64, id: WorkId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let connected = run.connected;
        if run.stop_at.is_some_and(|at| at <= step) {
            self.runs.remove(&id);
            self.emit(connected, Event::Cancelled(id));
            return;
        }
        if run.next_output_at > step {
            return;
        }
        run.outputs_left -= 1;
        run.next_output_at = step + gap;
        let started_cold = run.started_cold;
        let done = run.outputs_left == 0;
        self.emit(connected, Event::Output(id));
        if done {
            self.runs.remove(&id);
            self.emit(connected, Event::Done(id));
            self.warm_up(started_cold);
        }
    }

    fn warm_up(&mut self, started_cold: bool) {
        self.completed += u32::from(started_cold);
        if !self.warm && self.completed >= WARM_UP_COMPLETIONS {
            self.warm = true;
            self.runs.values_mut().for_each(|r| r.started_cold = false);
        }
    }

    fn emit(&mut self, connected: bool, event: Event) {
        if connected {
            self.events.push(event);
        }
    }

    pub fn cancel(&mut self, id: WorkId, at: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stop_at = Some(at);
        }
    }

    /// Turns cold. Requests that already run do not count, since they were started while it was warm.
    pub fn turn_cold(&mut self) {
        self.warm = false;
        self.completed = 0;
        self.runs.values_mut().for_each(|r| r.started_cold = false);
    }

    pub fn restart(&mut self) {
        self.warm = false;
        self.completed = 0;
        self.runs.clear();
        self.events.clear();
    }

    pub fn drop_connections(&mut self, step: u64) {
        for run in self.runs.values_mut() {
            run.connected = false;
            run.stop_at = Some(step + DISCONNECT_STEPS);
        }
    }

    pub fn report(&self) -> Report {
        Report {
            in_flight: self.runs.len() as u32,
            cold: !self.warm,
        }
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}
