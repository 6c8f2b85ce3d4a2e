//! Pace, standstill and admission of streams for the services that are *ordered*: those whose stream
//! routes have at least two priorities and a target gap. All other services are left alone.

mod admit;
mod ordered;
mod pace;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use metrics::{gauge, histogram};
use oriole_fleet::prelude::*;
use oriole_overload::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use self::admit::{Admission, Held, admit};
pub use self::ordered::ordered_services;
pub use self::pace::StreamPace;
use crate::decision_log::LogEvent;
use crate::gateway::Gateway;
use crate::mesh::HEARTBEAT_INTERVAL;
use crate::mesh::members::MAX_FANOUT;

/// Age after which the counts of running streams are taken anew for a decision. A pass of a group takes
/// longer.
const COUNT_TTL: Duration = Duration::from_millis(20);

/// Most groups in one heartbeat, as bytes between daemons are limited.
const MAX_GROUP_RECORDS: usize = 2;

/// Share of an upstream's slots that requests of the least urgent class may use.
const LAST_CLASS_SLOT_SHARE: f64 = 0.7;

/// Share of its objective that a request of the most urgent class may spend in an upstream's queue:
/// upstreams run urgent requests first.
const URGENT_QUEUE_SHARE: f64 = 0.75;

/// How a request of an ordered service may use upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotUse {
    /// Share of its objective that it may spend in an upstream's queue.
    pub queue_share: f64,
    /// Share of an upstream's slots that it may use; `None` for all.
    pub slot_share: Option<f64>,
}

#[derive(Debug)]
struct GroupState {
    progress: GroupProgress,
    service: String,
}

#[derive(Debug)]
struct ServiceState {
    target: Duration,
    limit: StreamLimit,
    admission: StreamAdmission,
    running: u32,
    slots: u32,
    pause: Option<Duration>,
    standstill: Option<Standstill>,
    view_age: Duration,
    daemons: usize,
}

#[derive(Debug, Default)]
struct State {
    /// Configuration that the services were determined from.
    cfg: Weak<Configuration>,
    services: HashMap<String, ServiceState>,
    groups: HashMap<String, GroupState>,
    counted_at: Option<Duration>,
    next_id: u64,
}

/// Counts of one service's upstreams.
#[derive(Default)]
struct ServiceCount {
    running: u32,
    /// Slots of the upstreams whose group runs.
    slots: u32,
    /// Whether some upstream belongs to no group.
    has_single: bool,
}

/// Counts of one group's members.
struct GroupCount {
    service: String,
    running: u32,
    /// Highest epoch that a member reports.
    epoch: u64,
    reported_running: bool,
}

/// State of all ordered services.
#[derive(Debug, Default)]
pub struct Streams {
    state: Mutex<State>,
}

impl Streams {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the rules apply to a service.
    pub fn is_ordered(&self, service: &str) -> bool {
        self.lock().services.contains_key(service)
    }

    /// Groups of a service that stand still; empty for a service that is not ordered.
    pub fn stopped_groups(&self, service: &str) -> Vec<String> {
        let state = self.lock();
        if !state.services.contains_key(service) {
            return Vec::new();
        }
        let groups = state.groups.iter();
        let stopped = groups.filter(|(_, g)| g.service == service && g.progress.stands_still());
        stopped.map(|(name, _)| name.clone()).collect()
    }

    /// How a request may use upstreams; `None` for a service that is not ordered.
    pub fn slot_use(&self, now: Duration, service: &str, priority: u8) -> Option<SlotUse> {
        let state = self.lock();
        let (rank, classes) = state.services.get(service)?.admission.rank(now, priority);
        let is_first = rank == 0 && classes > 1;
        let is_last = rank + 1 == classes && classes > 1;
        Some(SlotUse {
            queue_share: if is_first {
                URGENT_QUEUE_SHARE
            } else {
                crate::forward::QUEUE_WAIT_SHARE
            },
            slot_share: is_last.then_some(LAST_CLASS_SLOT_SHARE),
        })
    }

    /// What this daemon tells its peers. `number` counts heartbeats.
    pub fn records(&self, now: Duration, number: u64) -> Vec<GroupRecord> {
        let state = self.lock();
        let own = |g: &GroupState| g.progress.own_record(now);
        let mut records: Vec<GroupRecord> = state.groups.values().filter_map(own).collect();
        records.sort_unstable_by_key(|r| r.group);
        if records.len() > MAX_GROUP_RECORDS {
            let first = (number as usize).wrapping_mul(MAX_GROUP_RECORDS) % records.len();
            records.rotate_left(first);
            records.truncate(MAX_GROUP_RECORDS);
        }
        records
    }

    /// Takes in what a peer tells of a group.
    pub fn on_record(&self, now: Duration, peer: &str, record: &GroupRecord) {
        let peer = xxh3_64(peer.as_bytes());
        for group in self.lock().groups.values_mut() {
            group.progress.on_record(now, peer, record);
        }
    }

    /// Brings all estimates up to date.
    pub fn update(&self, gateway: &Gateway) {
        let now = gateway.clock.now();
        if !self.is_due(gateway, now) {
            return;
        }
        let (services, groups) = self.count(gateway, now);
        let daemons = gateway.share().daemons;
        let mut state = self.lock();
        state.counted_at = Some(now);
        let transitions = state.update_groups(now, groups);
        state.update_services(now, &services, daemons);
        drop(state);
        for (group, transition) in transitions {
            let (now, lasted) = match transition {
                Transition::Stopped => ("stands still", Duration::ZERO),
                Transition::WentOn(lasted) => ("goes on", lasted),
            };
            if !lasted.is_zero() {
                histogram!("oriole_group_standstill_seconds").record(lasted.as_secs_f64());
            }
            gateway.log.event(&LogEvent::GroupPace {
                group: &group,
                now,
                lasted,
            });
        }
    }

    /// Takes over the present configuration; returns whether there is anything to update.
    fn is_due(&self, gateway: &Gateway, now: Duration) -> bool {
        let cfg = gateway.fleet_view().configuration().cloned();
        let Some(cfg) = cfg else {
            return false;
        };
        let mut state = self.lock();
        if state.cfg.as_ptr() != Arc::as_ptr(&cfg) {
            state.set_configuration(&cfg);
        }
        let is_fresh = state.counted_at.is_some_and(|at| now < at + COUNT_TTL);
        !state.services.is_empty() && !is_fresh
    }

    fn count(
        &self,
        gateway: &Gateway,
        now: Duration,
    ) -> (HashMap<String, ServiceCount>, HashMap<String, GroupCount>) {
        let names: Vec<String> = self.lock().services.keys().cloned().collect();
        let mut services = HashMap::new();
        let mut groups: HashMap<String, GroupCount> = HashMap::new();
        let view = gateway.fleet_view();
        let traffic = gateway.traffic();
        for name in names {
            let mut count = ServiceCount::default();
            for known in view.usable_upstreams(now, &name) {
                let running = traffic.in_flight(&known.upstream.instance);
                count.running += running;
                if known.group_reported_running() {
                    count.slots += known.upstream.capacity;
                }
                let Some(membership) = &known.upstream.group_membership else {
                    count.has_single = true;
                    continue;
                };
                match groups.get_mut(&membership.group) {
                    Some(group) => {
                        group.running += running;
                        group.epoch = group.epoch.max(membership.epoch);
                        group.reported_running &= membership.group_running;
                    }
                    None => {
                        let count = GroupCount {
                            service: name.clone(),
                            running,
                            epoch: membership.epoch,
                            reported_running: membership.group_running,
                        };
                        groups.insert(membership.group.clone(), count);
                    }
                }
            }
            services.insert(name, count);
        }
        (services, groups)
    }
}

impl State {
    fn set_configuration(&mut self, cfg: &Arc<Configuration>) {
        self.cfg = Arc::downgrade(cfg);
        let mut targets = ordered_services(cfg);
        self.services.retain(|name, service| {
            let target = targets.remove(name);
            service.target = target.unwrap_or(service.target);
            target.is_some()
        });
        let added = targets.into_iter().map(|(name, target)| {
            let service = ServiceState {
                target,
                limit: StreamLimit::default(),
                admission: StreamAdmission::default(),
                running: 0,
                slots: 0,
                pause: None,
                standstill: None,
                view_age: Duration::ZERO,
                daemons: 1,
            };
            (name, service)
        });
        self.services.extend(added);
        self.counted_at = None;
    }

    fn update_groups(
        &mut self,
        now: Duration,
        counts: HashMap<String, GroupCount>,
    ) -> Vec<(String, Transition)> {
        self.groups.retain(|name, _| counts.contains_key(name));
        let mut transitions = Vec::new();
        for (name, count) in counts {
            let id = xxh3_64_with_seed(name.as_bytes(), count.epoch);
            let group = self
                .groups
                .entry(name.clone())
                .or_insert_with(|| GroupState {
                    progress: GroupProgress::new(id),
                    service: count.service.clone(),
                });
            if group.progress.id() != id {
                group.progress = GroupProgress::new(id);
            }
            // The rules for a group that is down apply if the store reports that it does not run.
            let running = if count.reported_running {
                count.running
            } else {
                0
            };
            let transition = group.progress.tick(now, running);
            transitions.extend(transition.map(|t| (name.clone(), t)));
            if let Some(pause) = group.progress.pause(now) {
                gauge!("oriole_group_pause_seconds", "group" => name).set(pause.as_secs_f64());
            }
        }
        transitions
    }

    fn update_services(
        &mut self,
        now: Duration,
        counts: &HashMap<String, ServiceCount>,
        daemons: usize,
    ) {
        for (name, service) in &mut self.services {
            let Some(count) = counts.get(name) else {
                continue;
            };
            let groups = || self.groups.values().filter(|g| g.service == *name);
            let pauses = groups().filter_map(|g| g.progress.pause(now));
            let (sum, known) = pauses.fold((Duration::ZERO, 0), |(s, n), p| (s + p, n + 1));
            service.pause = sum.checked_div(known);
            let stopped = groups().filter_map(|g| g.progress.standstill(now));
            let all_stopped = !count.has_single
                && groups().count() > 0
                && stopped.clone().count() == groups().count();
            let lasted = stopped.clone().min().filter(|_| all_stopped);
            service.standstill = lasted.map(|lasted| Standstill { lasted });
            service.running = count.running;
            service.slots = count.slots;
            service.daemons = daemons;
            service.view_age = view_age(daemons);
            let input = LimitInput {
                running: count.running,
                pause: service.pause,
                target: service.target,
                slots: count.slots,
                stands_still: stopped.count() > 0,
                view_age: service.view_age,
            };
            if service.limit.step(now, &input)
                && let Some(limit) = service.limit.limit()
            {
                gauge!("oriole_stream_limit", "service" => name.clone()).set(limit);
            }
        }
    }
}

/// Mean age of what peers reported: each heartbeat goes to some peers only if there are many.
fn view_age(daemons: usize) -> Duration {
    let rounds = (daemons as f64 / MAX_FANOUT as f64).max(1.0);
    HEARTBEAT_INTERVAL.mul_f64(rounds / 2.0)
}
