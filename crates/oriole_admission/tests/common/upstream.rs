//! A simple upstream: cold work is slow, and one request too many while cold is a violation.

use std::collections::BTreeMap;

use oriole_admission::prelude::WorkId;

use super::{COLD, WARM};

/// Steps of one token while warm and while cold.
const TOKEN_STEPS: [u64; 2] = [1, 4];
/// Tokens of a request, the first included.
const TOKENS: u32 = 8;
/// Completions that warm the upstream up.
const WARM_UP: u32 = 4;
/// Steps until the upstream stops what its closed connections carried.
const NOTICE_STEPS: u64 = 3;

/// What the agent will hear.
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
    fresh: bool,
    next: u64,
    left: u32,
    stop_at: Option<u64>,
    connected: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Model {
    warm: bool,
    completed: u32,
    runs: BTreeMap<WorkId, Run>,
    events: Vec<Event>,
    pub most_fresh: u32,
}

impl Model {
    pub fn arrive(&mut self, step: u64, id: WorkId) {
        let run = Run {
            fresh: !self.warm,
            next: step + 2 * TOKEN_STEPS[usize::from(!self.warm)],
            left: TOKENS + (id.0 % 5) as u32,
            stop_at: None,
            connected: true,
        };
        self.runs.insert(id, run);
        assert!(self.runs.len() as u32 <= WARM, "above the warm bound");
        let fresh = self.runs.values().filter(|r| r.fresh).count() as u32;
        self.most_fresh = self.most_fresh.max(fresh);
        assert!(fresh <= COLD, "above what a cold upstream bears");
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
        if run.next > step {
            return;
        }
        run.left -= 1;
        run.next = step + gap;
        let fresh = run.fresh;
        let done = run.left == 0;
        self.emit(connected, Event::Output(id));
        if done {
            self.runs.remove(&id);
            self.emit(connected, Event::Done(id));
            self.warm_up(fresh);
        }
    }

    fn warm_up(&mut self, fresh: bool) {
        self.completed += u32::from(fresh);
        if !self.warm && self.completed >= WARM_UP {
            self.warm = true;
            self.runs.values_mut().for_each(|r| r.fresh = false);
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

    /// Work that runs already was started on a warm upstream; what starts from now on is fresh.
    pub fn turn_cold(&mut self) {
        self.warm = false;
        self.completed = 0;
        self.runs.values_mut().for_each(|r| r.fresh = false);
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
            run.stop_at = Some(step + NOTICE_STEPS);
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
