//! A model of entry daemons and one group whose passes take longer the more streams run.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_overload::prelude::*;

pub const TICK: Duration = Duration::from_millis(10);
pub const SLOTS: u32 = 630;
pub const TARGET: Duration = Duration::from_millis(120);
const EVENTS: u32 = 23;

/// Arrivals of one class from all callers.
#[derive(Clone, Copy)]
pub struct Arrivals {
    pub priority: u8,
    pub per_s: f64,
    pub objective_ms: u64,
}

/// A usual load: 220 streams a second in three classes.
pub const USUAL: [Arrivals; 3] = [
    arrivals(0, 80.0, 400),
    arrivals(1, 35.0, 400),
    arrivals(2, 105.0, 1000),
];

pub const fn arrivals(priority: u8, per_s: f64, objective_ms: u64) -> Arrivals {
    Arrivals {
        priority,
        per_s,
        objective_ms,
    }
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub arrived: u32,
    pub admitted: u32,
    pub refused: u32,
    pub probes: u32,
}

struct Daemon {
    admission: StreamAdmission,
    limit: StreamLimit,
    progress: GroupProgress,
    waiting: Vec<StreamDemand>,
    running: u32,
}

struct Stream {
    daemon: usize,
    demand: StreamDemand,
    started_at: Duration,
    events_left: u32,
    last_event: Option<Duration>,
}

pub struct Fleet {
    daemons: Vec<Daemon>,
    streams: Vec<Stream>,
    /// Running streams of each daemon at past ticks; the front is what peers see.
    views: VecDeque<Vec<u32>>,
    view_age: Duration,
    now: Duration,
    next_pass_at: Duration,
    next_id: u64,
    seed: u64,
    due: BTreeMap<u8, f64>,
    /// Factor on the time of a pass; infinite while the group is frozen.
    pub slowdown: f64,
    pub outcomes: BTreeMap<u8, Outcome>,
    pub pauses: Vec<Duration>,
    pub most_running: u32,
    /// Whether refused requests come back after their `Retry-After`.
    pub retries: bool,
    returning: Vec<(Duration, u8, u64)>,
}

impl Fleet {
    pub fn new(daemons: usize, view_age: Duration) -> Self {
        let daemon = |_| Daemon {
            admission: StreamAdmission::default(),
            limit: StreamLimit::default(),
            progress: GroupProgress::new(1),
            waiting: Vec::new(),
            running: 0,
        };
        Self {
            daemons: (0..daemons).map(daemon).collect(),
            streams: Vec::new(),
            views: VecDeque::new(),
            view_age,
            now: Duration::ZERO,
            next_pass_at: Duration::ZERO,
            next_id: 0,
            seed: 7,
            due: BTreeMap::new(),
            slowdown: 1.0,
            outcomes: BTreeMap::new(),
            pauses: Vec::new(),
            most_running: 0,
            retries: false,
            returning: Vec::new(),
        }
    }

    /// A number in `0.0..1.0`, the same in every run.
    fn random(&mut self) -> f64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn running(&self) -> u32 {
        self.streams.len() as u32
    }

    /// The highest limit that any daemon has learned.
    pub fn limit(&self) -> f64 {
        let limits = self.daemons.iter().filter_map(|d| d.limit.limit());
        limits.fold(0.0, f64::max)
    }

    pub fn waiting(&self) -> usize {
        self.daemons.iter().map(|d| d.waiting.len()).sum()
    }

    /// Forgets the outcomes so far.
    pub fn reset_outcomes(&mut self) {
        self.outcomes.clear();
        self.pauses.clear();
        self.most_running = 0;
    }

    pub fn run(&mut self, time: Duration, load: &[Arrivals]) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.run_pass();
            self.exchange();
            for class in load {
                let due = self.due.entry(class.priority).or_default();
                *due += class.per_s * TICK.as_secs_f64();
                let count = *due as u32;
                *due -= f64::from(count);
                for _ in 0..count {
                    self.arrive(class.priority, class.objective_ms);
                }
            }
            let now = self.now;
            let (back, later) = self.returning.drain(..).partition(|r| r.0 <= now);
            self.returning = later;
            for (_, priority, objective_ms) in Vec::from_iter(back) as Vec<(Duration, u8, u64)> {
                self.arrive(priority, objective_ms);
            }
            for daemon in 0..self.daemons.len() {
                for demand in std::mem::take(&mut self.daemons[daemon].waiting) {
                    let cx = self.conditions(daemon);
                    let decision = self.daemons[daemon].admission.poll(now, demand.id, &cx);
                    self.act(daemon, demand, decision);
                }
            }
            self.most_running = self.most_running.max(self.running());
        }
    }

    /// One pass of the group, if it is due: each stream has an event.
    fn run_pass(&mut self) {
        if self.slowdown.is_infinite() {
            self.next_pass_at = self.now + TICK;
            return;
        }
        if self.now < self.next_pass_at {
            return;
        }
        let load = self.streams.len().min(SLOTS as usize) as f64 / 430.0;
        let pass_ms = (70.0 + 15.0 * load.powi(3)) * self.slowdown;
        self.next_pass_at = self.now + Duration::from_secs_f64(pass_ms / 1000.0);
        // Streams beyond the slots wait at their upstreams.
        for stream in self.streams.iter_mut().take(SLOTS as usize) {
            let daemon = &mut self.daemons[stream.daemon];
            if stream.last_event.is_none() {
                daemon.progress.on_stream_started();
            }
            daemon.progress.on_event(self.now, stream.last_event);
            self.pauses
                .extend(stream.last_event.map(|at| self.now - at));
            stream.last_event = Some(self.now);
            stream.events_left -= 1;
            if stream.events_left == 0 {
                daemon.progress.on_stream_ended();
                daemon.running -= 1;
                let ran = self.now - stream.started_at;
                daemon.admission.finish(stream.demand.account, 1, ran);
            }
        }
        self.streams.retain(|s| s.events_left > 0);
    }

    /// Heartbeats to some neighbours, and the steps of all limits.
    fn exchange(&mut self) {
        let kept = (self.view_age.as_millis() / TICK.as_millis()) as usize;
        self.views
            .push_back(self.daemons.iter().map(|d| d.running).collect());
        while self.views.len() > kept + 1 {
            self.views.pop_front();
        }
        let (now, count) = (self.now, self.daemons.len());
        for from in (0..count).filter(|d| (now.as_millis() as usize / 10 + d).is_multiple_of(15)) {
            if let Some(record) = self.daemons[from].progress.own_record(now) {
                for step in 1..count.min(20) {
                    let to = (from + step * 17) % count;
                    self.daemons[to]
                        .progress
                        .on_record(now, from as u64, &record);
                }
            }
        }
        for d in 0..count {
            let running = self.view(d);
            let daemon = &mut self.daemons[d];
            daemon.progress.tick(now, running);
            let input = LimitInput {
                running,
                pause: daemon.progress.pause(now),
                target: TARGET,
                slots: SLOTS,
                stands_still: daemon.progress.standstill(now).is_some(),
                view_age: self.view_age,
            };
            daemon.limit.step(now, &input);
        }
    }

    /// Running streams of all daemons as one of them knows them.
    fn view(&self, daemon: usize) -> u32 {
        let Some(view) = self.views.front() else {
            return 0;
        };
        view.iter().sum::<u32>() - view[daemon] + self.daemons[daemon].running
    }

    fn conditions(&mut self, daemon: usize) -> Conditions {
        let point = self.random();
        let running = self.view(daemon);
        let known = &self.daemons[daemon];
        let standstill = known.progress.standstill(self.now);
        Conditions {
            running: known.limit.expected(running),
            limit: known.limit.limit(),
            slots: SLOTS,
            standstill: standstill.map(|lasted| Standstill { lasted }),
            view_age: self.view_age,
            daemons: self.daemons.len(),
            point,
        }
    }

    fn arrive(&mut self, priority: u8, objective_ms: u64) {
        let daemon = (self.random() * self.daemons.len() as f64) as usize;
        self.next_id += 1;
        let demand = StreamDemand {
            id: self.next_id,
            priority,
            account: 0,
            tokens: 1,
            objective: Duration::from_millis(objective_ms),
            received_at: self.now,
        };
        self.outcomes.entry(priority).or_default().arrived += 1;
        let cx = self.conditions(daemon);
        let decision = self.daemons[daemon].admission.offer(self.now, demand, &cx);
        self.act(daemon, demand, decision);
    }

    fn act(&mut self, daemon: usize, demand: StreamDemand, decision: Decision) {
        let outcome = self.outcomes.entry(demand.priority).or_default();
        match decision {
            Decision::Admit { is_probe } => {
                outcome.admitted += 1;
                outcome.probes += u32::from(is_probe);
                self.daemons[daemon].running += 1;
                self.streams.push(Stream {
                    daemon,
                    demand,
                    started_at: self.now,
                    events_left: EVENTS,
                    last_event: None,
                });
            }
            Decision::Wait { .. } => self.daemons[daemon].waiting.push(demand),
            Decision::Refuse { retry_after, .. } => {
                outcome.refused += 1;
                if self.retries {
                    let objective_ms = demand.objective.as_millis() as u64;
                    let back = (self.now + retry_after, demand.priority, objective_ms);
                    self.returning.push(back);
                }
            }
        }
    }
}
