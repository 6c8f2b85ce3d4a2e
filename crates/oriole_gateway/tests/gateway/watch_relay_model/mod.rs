//! A deterministic model of a store and of a fleet of entry daemons, in steps of simulated time. The
//! decisions are those of the real state machines; calls, heartbeats and pulls are modelled.

mod check;
mod exchange;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::fleet_view::FleetView;
use oriole_gateway::freshness::{
    Confirmation, ConfirmationId, FreshnessAction, FreshnessTracker, Place,
};
use oriole_gateway::mesh::HEARTBEAT_INTERVAL;
use oriole_gateway::mesh::members::Members;
use oriole_gateway::mesh::message::{MemberRecord, Readiness};
use oriole_gateway::watch_relay::{RelayPosition, RetryAction, WatchRelay, WatchRole};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::fake::{FakeDialect, item};

const STEP: Duration = Duration::from_millis(5);
const CALL_TIME: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// As in `mesh`: `PULL_DELAY`, `MAX_FANOUT`, and the time limit of an exchange.
const PULL_DELAY: Duration = Duration::from_millis(250);
const FANOUT: usize = 40;
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
pub const LOAD: Range<Duration> = Duration::from_secs(3)..Duration::from_secs(33);
const END: Duration = Duration::from_millis(35_500);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const PREFIX: &str = "up/";

/// What happens to the fleet; times are those of the model.
#[derive(Clone, Default)]
pub struct Scenario {
    pub daemons: usize,
    /// Whether large fleets have relays; otherwise all daemons use the rules of a small fleet.
    pub has_relays: bool,
    /// Daemons that stop, and when.
    pub lost: Vec<(usize, Duration)>,
    /// A daemon that exchanges nothing with its peers during this time.
    pub partitioned: Option<(usize, Range<Duration>)>,
    pub resets: Option<Range<Duration>>,
    pub silence: Option<Range<Duration>>,
}

/// What the model measured.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub watches: usize,
    pub lists: usize,
    pub pulls: usize,
    pub longest_lag: Duration,
    /// Longest time from the end of a store failure to a confirmation of a daemon's view.
    pub longest_recovery: Duration,
    /// Daemons that had the role of a relay at the end.
    pub relays: usize,
}

impl Outcome {
    pub fn calls(&self) -> usize {
        self.watches + self.lists
    }
}

#[derive(Clone, Copy)]
enum Call {
    /// Not before this time; after a failure the state machine decides further.
    Pause(Duration, bool),
    Sent(Duration),
    /// The answer of a watch that became due in a silence is lost.
    Open {
        is_lost: bool,
    },
    Unanswered(Duration),
}

struct Daemon {
    record: MemberRecord,
    members: Members,
    view: FleetView,
    freshness: FreshnessTracker,
    relay: WatchRelay,
    watcher: Call,
    revision: Option<u64>,
    complete: Option<u64>,
    failures: u32,
    confirmer: Call,
    confirm_failures: u32,
    listings: u64,
    next_heartbeat: Duration,
    pull_at: Option<Duration>,
    pull_allowed_at: Duration,
    pending: VecDeque<(u64, String, Duration)>,
}

pub struct Model {
    scenario: Scenario,
    now: Duration,
    rng: StdRng,
    daemons: Vec<Daemon>,
    revision: u64,
    items: BTreeMap<String, (u64, bool)>,
    prefix: usize,
    outcome: Outcome,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7340))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        unreachable!("all addresses are IPv4");
    };
    usize::from(v4.ip().octets()[3])
}

impl Model {
    pub fn run(scenario: Scenario) -> Outcome {
        let mut rng = StdRng::seed_from_u64(43);
        let dialect: Arc<dyn Dialect> = Arc::new(FakeDialect::default());
        let prefixes = dialect.watched_prefixes();
        let prefix = prefixes.iter().position(|p| *p == PREFIX).unwrap();
        let daemon = |i: usize| Daemon {
            record: MemberRecord {
                name: format!("edge-{i:02}"),
                incarnation: i as u64 + 1,
                heartbeat: 0,
                peer_address: address(i).to_string(),
                caller_address: String::new(),
                domain: format!("domain-{}", i % 3),
                readiness: Readiness::Ready.into(),
            },
            members: Members::new(&format!("edge-{i:02}")),
            view: FleetView::new(dialect.clone(), Duration::ZERO),
            freshness: FreshnessTracker::new(prefixes.len()),
            relay: WatchRelay::new(prefixes.len()),
            watcher: Call::Pause(Duration::ZERO, false),
            revision: None,
            complete: None,
            failures: 0,
            confirmer: Call::Pause(Duration::ZERO, false),
            confirm_failures: 0,
            listings: 0,
            next_heartbeat: HEARTBEAT_INTERVAL.mul_f64(rng.random()),
            pull_at: None,
            pull_allowed_at: Duration::ZERO,
            pending: VecDeque::new(),
        };
        let daemons = (0..scenario.daemons).map(daemon).collect();
        let mut model = Self {
            scenario,
            now: Duration::ZERO,
            rng,
            daemons,
            revision: 0,
            items: BTreeMap::new(),
            prefix,
            outcome: Outcome::default(),
        };
        while model.now < END {
            model.step();
            model.now += STEP;
        }
        let live = (0..model.daemons.len()).filter(|i| !model.is_lost(*i));
        let relays = live.filter(|i| model.daemons[*i].relay.role() == WatchRole::Relay);
        model.outcome.relays = relays.count();
        model.outcome
    }

    fn is_every(&self, interval: Duration) -> bool {
        self.now.as_micros().is_multiple_of(interval.as_micros())
    }

    fn step(&mut self) {
        if LOAD.contains(&self.now) && self.is_every(CHANGE_INTERVAL) {
            self.change();
        }
        for i in 0..self.daemons.len() {
            if self.is_lost(i) {
                continue;
            }
            if self.now >= self.daemons[i].next_heartbeat {
                self.heartbeat(i);
            }
            if self.daemons[i].pull_at.is_some_and(|at| self.now >= at) {
                self.pull_closed(i);
            }
            self.step_watcher(i);
            self.step_confirmer(i);
            if self.is_every(CHECK_INTERVAL) {
                self.check(i);
            }
        }
    }

    fn change(&mut self) {
        self.revision += 1;
        let (n, round) = (self.revision % 20, self.revision / 20);
        let key = format!("{PREFIX}i-{n}");
        let is_removal = (round + n) % 4 == 3 && self.items.contains_key(&key);
        self.items.insert(key.clone(), (self.revision, !is_removal));
        for daemon in &mut self.daemons {
            let change = (self.revision, key.clone(), self.now);
            daemon.pending.push_back(change);
        }
    }

    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let newer = self.items.iter().filter(|(_, (r, _))| *r > revision);
        let changes = newer.map(|(key, (revision, exists))| {
            if *exists {
                let value = format!("llm 10.0.1.1:80 north ready {revision}");
                Change::Put(item(key, &value, *revision))
            } else {
                let (key, revision) = (key.clone(), *revision);
                Change::Removed { key, revision }
            }
        });
        let mut changes: Vec<Change> = changes.collect();
        changes.sort_by_key(|change| match change {
            Change::Put(item) => item.revision,
            Change::Removed { revision, .. } => *revision,
        });
        changes
    }

    fn is_lost(&self, i: usize) -> bool {
        let mut lost = self.scenario.lost.iter();
        lost.any(|(lost, at)| *lost == i && self.now >= *at)
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        let partitioned = self.scenario.partitioned.as_ref();
        let is_cut =
            partitioned.is_some_and(|(i, time)| (*i == a || *i == b) && time.contains(&self.now));
        !is_cut && !self.is_lost(b)
    }

    fn is_in(&self, time: &Option<Range<Duration>>) -> bool {
        time.as_ref().is_some_and(|time| time.contains(&self.now))
    }

    fn count(&mut self, is_watch: bool) {
        if self.now >= LOAD.start && self.now < LOAD.end {
            let outcome = &mut self.outcome;
            let count = if is_watch {
                &mut outcome.watches
            } else {
                &mut outcome.lists
            };
            *count += 1;
        }
    }

    fn place(&self, i: usize) -> Place {
        let (daemons, ordinal) = self.daemons[i].members.sender_position(self.now);
        Place { ordinal, daemons }
    }

    fn update_role(&mut self, i: usize) {
        let small = RelayPosition {
            daemons: 1,
            domain_daemons: 1,
            ordinal: 0,
        };
        let daemon = &mut self.daemons[i];
        let position = daemon
            .members
            .relay_position(self.now, &daemon.record.domain);
        let position = if self.scenario.has_relays {
            position
        } else {
            small
        };
        let change = daemon.relay.on_position(self.now, position);
        if change.is_some_and(|change| change.role == WatchRole::Relay)
            && let Call::Pause(at, is_retry) = &mut daemon.watcher
            && !*is_retry
        {
            *at = self.now;
        }
    }

    fn step_watcher(&mut self, i: usize) {
        let (now, prefix) = (self.now, self.prefix);
        let is_reset = self.is_in(&self.scenario.resets);
        let is_silent = self.is_in(&self.scenario.silence);
        let daemon = &mut self.daemons[i];
        match daemon.watcher {
            Call::Pause(at, is_retry) if now >= at => {
                if is_retry && let RetryAction::WaitUntil(at) = daemon.relay.next_retry(now, prefix)
                {
                    // A role change may end the wait, so it is asked for again soon.
                    daemon.watcher = Call::Pause(at.min(now + CHECK_INTERVAL), true);
                    return;
                }
                if daemon.revision.is_some() {
                    daemon.relay.on_watch_sent(now, prefix);
                    daemon.freshness.on_watch_opened(now, prefix);
                }
                daemon.watcher = Call::Sent(now);
                let is_watch = daemon.revision.is_some();
                self.count(is_watch);
            }
            Call::Sent(at) if now >= at + CALL_TIME => {
                if is_reset {
                    self.on_watcher_failed(i);
                } else if let Some(revision) = daemon.revision {
                    daemon.watcher = Call::Open { is_lost: is_silent };
                    self.step_open_watch(i, revision, is_silent);
                } else if is_silent {
                    daemon.watcher = Call::Unanswered(at);
                } else {
                    let listed = self.apply_listing(i, at);
                    self.on_watcher_answered(i, listed);
                    self.daemons[i].watcher = Call::Pause(now, false);
                }
            }
            Call::Open { .. } if is_reset => self.on_watcher_failed(i),
            Call::Open { is_lost } => {
                let revision = daemon.revision.unwrap();
                self.step_open_watch(i, revision, is_lost);
            }
            Call::Unanswered(at) if now >= at + CALL_TIMEOUT => {
                daemon.freshness.on_no_answer(at);
                self.on_watcher_failed(i);
            }
            _ => {}
        }
    }

    fn step_open_watch(&mut self, i: usize, revision: u64, is_lost: bool) {
        if self.revision <= revision {
            return;
        }
        if is_lost || self.is_in(&self.scenario.silence) {
            self.daemons[i].watcher = Call::Open { is_lost: true };
            return;
        }
        self.on_answer(i);
        for change in self.changes_after(revision) {
            self.daemons[i].view.apply(self.now, change);
        }
        let resume = self.revision;
        self.on_watcher_answered(i, resume);
        self.daemons[i].freshness.on_watch_ended(self.prefix);
        self.update_role(i);
        let daemon = &mut self.daemons[i];
        let pause = daemon
            .relay
            .on_changes(self.now, self.prefix, resume, &mut self.rng);
        daemon.watcher = Call::Pause(self.now + pause, false);
    }

    fn on_watcher_answered(&mut self, i: usize, revision: u64) {
        let daemon = &mut self.daemons[i];
        daemon.failures = 0;
        daemon.revision = Some(revision);
        daemon.complete = Some(revision);
    }

    fn on_watcher_failed(&mut self, i: usize) {
        self.update_role(i);
        let (now, prefix) = (self.now, self.prefix);
        let daemon = &mut self.daemons[i];
        daemon.freshness.on_watch_ended(prefix);
        daemon.failures += 1;
        daemon.revision = None;
        let relay = &mut daemon.relay;
        relay.on_call_failed(now, prefix, daemon.failures, daemon.complete, &mut self.rng);
        daemon.watcher = Call::Pause(now, true);
    }

    fn on_answer(&mut self, i: usize) {
        let place = self.place(i);
        self.daemons[i].freshness.on_answer(self.now, place);
    }

    fn apply_listing(&mut self, i: usize, sent_at: Duration) -> u64 {
        self.on_answer(i);
        let place = self.place(i);
        let items = self.changes_after(0).into_iter().filter_map(|c| match c {
            Change::Put(item) => Some(item),
            Change::Removed { .. } => None,
        });
        let (now, prefix) = (self.now, self.prefix);
        let (items, revision) = (items.collect(), self.revision);
        let daemon = &mut self.daemons[i];
        let before = daemon.view.digests().0[prefix];
        daemon.view.apply_listing(now, PREFIX, items, revision);
        if daemon.view.digests().0[prefix] != before {
            daemon.freshness.on_missed_change(now, prefix, place);
        }
        daemon.listings += 1;
        let id = ConfirmationId {
            incarnation: daemon.record.incarnation,
            number: daemon.listings,
        };
        let as_of = sent_at;
        self.confirm(i, Confirmation { id, as_of });
        revision
    }

    fn confirm(&mut self, i: usize, confirmation: Confirmation) {
        let (now, prefix) = (self.now, self.prefix);
        let freshness = &mut self.daemons[i].freshness;
        let before = freshness.confirmed_at(prefix);
        freshness.on_confirmed(now, prefix, confirmation);
        for failure in [&self.scenario.resets, &self.scenario.silence] {
            let Some(failure) = failure else { continue };
            if before < Some(failure.end) && freshness.confirmed_at(prefix) >= Some(failure.end) {
                let recovery = now - failure.end;
                self.outcome.longest_recovery = self.outcome.longest_recovery.max(recovery);
            }
        }
    }

    fn step_confirmer(&mut self, i: usize) {
        let (now, prefix) = (self.now, self.prefix);
        match self.daemons[i].confirmer {
            Call::Pause(at, _) if now >= at => {
                let mut place = self.place(i);
                let daemon = &mut self.daemons[i];
                if daemon.relay.role() == WatchRole::Waiting {
                    place = place.in_second_half();
                }
                match daemon.freshness.next_action(now, prefix, place) {
                    FreshnessAction::Confirm => {
                        daemon.confirmer = Call::Sent(now);
                        self.count(false);
                    }
                    FreshnessAction::CutWatch => {
                        daemon.freshness.on_watch_ended(prefix);
                        daemon.revision = None;
                        daemon.watcher = Call::Pause(now, false);
                    }
                    FreshnessAction::WaitUntil(at) => {
                        daemon.confirmer = Call::Pause(at.min(now + CHECK_INTERVAL), false);
                    }
                }
            }
            Call::Sent(at) if now >= at + CALL_TIME => {
                if self.is_in(&self.scenario.resets) {
                    self.on_confirm_failed(i, at);
                } else if self.is_in(&self.scenario.silence) {
                    self.daemons[i].confirmer = Call::Unanswered(at);
                } else {
                    self.apply_listing(i, at);
                    let daemon = &mut self.daemons[i];
                    daemon.confirm_failures = 0;
                    daemon.relay.on_confirm(prefix, None);
                    daemon.confirmer = Call::Pause(now, false);
                    daemon.next_heartbeat = now;
                }
            }
            Call::Unanswered(at) if now >= at + CALL_TIMEOUT => self.on_confirm_failed(i, at),
            _ => {}
        }
    }

    fn on_confirm_failed(&mut self, i: usize, sent_at: Duration) {
        let daemon = &mut self.daemons[i];
        daemon.freshness.on_no_answer(sent_at);
        daemon.confirm_failures += 1;
        let failures = daemon.confirm_failures;
        let pause = daemon.relay.retry_pause(failures, &mut self.rng);
        daemon.relay.on_confirm(self.prefix, Some(self.now + pause));
        let freshness = &mut daemon.freshness;
        freshness.on_confirm_failed(self.now, self.prefix, pause);
        daemon.confirmer = Call::Pause(self.now, false);
    }
}
