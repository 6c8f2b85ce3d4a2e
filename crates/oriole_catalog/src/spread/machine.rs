//! Decides when to query the store and which peer to query for the configuration.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::config::SpreadConfig;
use super::members::{Fleet, Member};
use super::startup::Startup;
use super::suspects::Suspects;

/// Maximum time between two ticks, also used as the delay while there is nothing to query.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two ticks.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(5);
/// Upper bound of the delay after the first failure of the store.
const FIRST_STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay after repeated failures of the store.
const MAX_STORE_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Purpose of a query to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueryReason {
    /// To wait for the next revision at a relay.
    Poll,
    /// To get a newer revision that a message of the peer showed.
    Hint,
    /// To learn which revision the peer holds, without its contents.
    Probe,
    /// To get the first configuration of a starting process.
    Adopt,
}

/// A call for the driver to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the root, and its parts if it is newer.
    ReadStore {
        /// Time limit of the call.
        timeout: Duration,
    },
    /// Watch the root, and read its parts when it is newer.
    WatchStore {
        /// How long the watch waits.
        wait: Duration,
        /// Time limit of the call, in addition to the wait.
        timeout: Duration,
    },
    /// Query a peer.
    QueryPeer {
        /// Peer to query.
        peer: VmName,
        /// Purpose of the query.
        reason: QueryReason,
        /// How long the peer waits for a newer revision.
        wait: Duration,
    },
}

/// Input of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The time returned by [`SpreadMachine::wake_at`] was reached.
    Tick,
    /// The members of the fleet changed.
    Members(Vec<Member>),
    /// A message of a peer contained the revision that it holds.
    Hint {
        /// Revision of the peer.
        revision: Revision,
        /// Sender of the message.
        peer: VmName,
    },
    /// A call to the store completed. A newer revision in its answer is already installed.
    StoreCallFinished {
        /// Stored revision, zero if there is none; `None` if the call failed.
        revision: Option<Revision>,
        /// Revision in force after the call.
        held: Revision,
    },
    /// A query to a peer completed. A newer revision in its answer is already installed.
    PeerCallFinished {
        /// Peer that was queried.
        peer: VmName,
        /// Purpose of the query.
        reason: QueryReason,
        /// State of the peer; `None` if the query failed or the answer could not be used.
        answer: Option<PeerState>,
        /// Revision in force after the call.
        held: Revision,
    },
}

/// State of the configuration that a peer reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Revision that the peer holds.
    pub revision: Revision,
    /// Age of the last confirmation by the store; `None` if there was none.
    pub confirmed_age: Option<Duration>,
}

/// State machine of a follower. All times are durations since the process started.
#[derive(Debug)]
pub struct SpreadMachine {
    pub(super) cfg: SpreadConfig,
    pub(super) fleet: Fleet,
    pub(super) suspects: Suspects,
    pub(super) held: Revision,
    confirmed_at: Option<Duration>,
    relay: bool,
    pub(super) store: StoreSchedule,
    poll: PollSchedule,
    hint_in_flight: bool,
    pub(super) startup: Startup,
}

/// When to call the store next.
#[derive(Debug, Default)]
pub(super) struct StoreSchedule {
    pub(super) in_flight: bool,
    /// Consecutive failures.
    pub(super) failures: u32,
    pub(super) due: Duration,
    /// Whether `due` was already moved forward because the last confirmation is too old.
    expedited: bool,
}

/// When to poll next.
#[derive(Debug, Default)]
struct PollSchedule {
    in_flight: bool,
    due: Duration,
    sent_at: Duration,
}

impl SpreadMachine {
    /// Creates the machine of a process without a configuration.
    #[must_use]
    pub fn new(cfg: SpreadConfig, me: Member) -> Self {
        Self {
            fleet: Fleet::new(me),
            suspects: Suspects::new(cfg.suspect_duration),
            held: Revision::default(),
            confirmed_at: None,
            relay: true,
            store: StoreSchedule::default(),
            poll: PollSchedule::default(),
            hint_in_flight: false,
            startup: Startup::default(),
            cfg,
        }
    }

    /// Handles an event and returns the calls to make now.
    pub fn handle(&mut self, event: Event, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let was_starting = self.held == Revision::default();
        match event {
            Event::Tick => {}
            Event::Members(members) => self.set_members(members),
            Event::Hint { revision, peer } => actions.extend(self.on_hint(revision, peer, now)),
            Event::StoreCallFinished { revision, held } => {
                self.on_store_call_finished(revision, held, now, rng);
            }
            Event::PeerCallFinished {
                peer,
                reason,
                answer,
                held,
            } => {
                self.on_peer_call_finished(&peer, reason, answer, held, now);
                if was_starting && self.held > Revision::default() && !self.relay {
                    self.store.due = self.next_direct_read(now, rng);
                }
            }
        }
        self.update_relay(now, rng);
        if self.held == Revision::default() {
            self.advance_startup(now, rng, &mut actions);
        } else {
            actions.extend(self.next_store_call(now, rng));
            actions.extend(self.next_poll(now, rng));
        }
        actions
    }

    /// Returns when to pass the next [`Event::Tick`].
    #[must_use]
    pub fn wake_at(&self, now: Duration) -> Duration {
        let store = (!self.store.in_flight).then_some(self.store.due);
        let poll = (!self.poll.in_flight).then_some(self.poll.due);
        let starting = self.held == Revision::default();
        let startup = starting.then(|| self.startup.wake_at(self.cfg.startup_store_timeout));
        let due = [store, poll].into_iter().flatten();
        let due = due.chain(startup.into_iter().flatten());
        let next = due.filter(|t| *t > now).min();
        next.unwrap_or(Duration::MAX)
            .clamp(now + MIN_WAKE_INTERVAL, now + MAX_WAKE_INTERVAL)
    }

    /// Returns whether the process is a relay, which watches the store for its peers.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relay
    }

    /// Returns when the store last confirmed the held revision, directly or through peers.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    pub(super) fn is_usable(&self, m: &Member, now: Duration) -> bool {
        self.suspects.is_usable(&m.name, now)
    }

    /// Returns whether the process is a relay when all members are assumed to be reachable.
    pub(super) fn is_listed_relay(&self) -> bool {
        self.fleet.rank(|_| true) < self.cfg.relays_per_domain
    }

    fn set_members(&mut self, members: Vec<Member>) {
        self.fleet.set_peers(members);
        let fleet = &self.fleet;
        self.suspects.retain(|name| fleet.contains(name));
    }

    fn update_relay(&mut self, now: Duration, rng: &mut impl Rng) {
        let rank = self.fleet.rank(|m| self.is_usable(m, now));
        let relay = rank < self.cfg.relays_per_domain;
        if relay == self.relay || self.held == Revision::default() {
            self.relay = relay;
            return;
        }
        self.relay = relay;
        self.store.due = if relay {
            now
        } else {
            self.next_direct_read(now, rng)
        };
    }

    fn next_direct_read(&self, now: Duration, rng: &mut impl Rng) -> Duration {
        now + self
            .cfg
            .direct_read_interval
            .mul_f64(rng.random_range(0.5..1.5))
    }

    fn is_unconfirmed(&self, now: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|t| now.saturating_sub(t) > self.cfg.unconfirmed_after)
    }

    fn record_confirmation(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn on_hint(&mut self, revision: Revision, peer: VmName, now: Duration) -> Option<Action> {
        let wanted = self.held > Revision::default() && revision > self.held;
        if !wanted || self.hint_in_flight || !self.suspects.is_usable(&peer, now) {
            return None;
        }
        self.hint_in_flight = true;
        Some(Action::QueryPeer {
            peer,
            reason: QueryReason::Hint,
            wait: Duration::ZERO,
        })
    }

    fn on_store_call_finished(
        &mut self,
        revision: Option<Revision>,
        held: Revision,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        let was_starting = self.held == Revision::default();
        self.held = held;
        self.store.in_flight = false;
        self.store.expedited = false;
        let Some(revision) = revision else {
            self.store.failures += 1;
            self.store.due = now + self.store_retry_delay(rng);
            self.startup.store_failed_or_empty = true;
            return;
        };
        self.store.failures = 0;
        self.startup.store_failed_or_empty |= revision == Revision::default();
        if revision == held && held > Revision::default() {
            self.record_confirmation(now);
        }
        self.store.due = match (self.relay, was_starting && held == Revision::default()) {
            // The store holds no catalog yet.
            (_, true) => now + MAX_WAKE_INTERVAL,
            (true, false) => now,
            (false, false) => self.next_direct_read(now, rng),
        };
    }

    fn store_retry_delay(&self, rng: &mut impl Rng) -> Duration {
        if !self.relay && self.held > Revision::default() {
            return self.cfg.unconfirmed_read_window.mul_f64(rng.random());
        }
        let doublings = self.store.failures.saturating_sub(1).min(8);
        let upper_bound = FIRST_STORE_RETRY_DELAY * (1 << doublings);
        upper_bound
            .min(MAX_STORE_RETRY_DELAY)
            .mul_f64(rng.random_range(0.5..1.0))
    }

    fn store_timeout(&self) -> Duration {
        self.cfg.store_timeout * (1 << self.store.failures.min(4))
    }

    fn on_peer_call_finished(
        &mut self,
        peer: &VmName,
        reason: QueryReason,
        answer: Option<PeerState>,
        held: Revision,
        now: Duration,
    ) {
        self.held = held;
        match reason {
            QueryReason::Poll => {
                self.poll.in_flight = false;
                self.poll.due = now.max(self.poll.sent_at + self.cfg.poll_interval);
            }
            QueryReason::Hint => self.hint_in_flight = false,
            QueryReason::Probe | QueryReason::Adopt => {
                self.startup.on_peer_call_finished(peer, reason, answer);
            }
        }
        let Some(state) = answer else {
            // A peer that does not answer a probe may be starting as well.
            if reason != QueryReason::Probe {
                self.suspects.record_failure(peer, now);
            }
            return;
        };
        self.suspects.record_answer(peer);
        let age = state.confirmed_age.filter(|_| state.revision == held);
        if let Some(age) = age.filter(|_| held > Revision::default()) {
            self.record_confirmation(now.saturating_sub(age));
        }
    }

    pub(super) fn read_store(&mut self) -> Action {
        self.store.in_flight = true;
        Action::ReadStore {
            timeout: self.store_timeout(),
        }
    }

    fn next_store_call(&mut self, now: Duration, rng: &mut impl Rng) -> Option<Action> {
        if self.store.in_flight {
            return None;
        }
        if !self.relay && !self.store.expedited && self.is_unconfirmed(now) {
            self.store.expedited = true;
            let expedited = now + self.cfg.unconfirmed_read_window.mul_f64(rng.random());
            self.store.due = self.store.due.min(expedited);
        }
        if now < self.store.due {
            return None;
        }
        if !self.relay {
            return Some(self.read_store());
        }
        self.store.in_flight = true;
        Some(Action::WatchStore {
            wait: if self.is_listed_relay() {
                self.cfg.watch_wait
            } else {
                self.cfg.fallback_watch_wait
            },
            timeout: self.store_timeout(),
        })
    }

    fn next_poll(&mut self, now: Duration, rng: &mut impl Rng) -> Option<Action> {
        let wanted = !self.relay || self.is_unconfirmed(now);
        if !wanted || self.poll.in_flight || now < self.poll.due {
            return None;
        }
        let Some(peer) = self.pick_relay(now, rng) else {
            self.poll.due = now + MAX_WAKE_INTERVAL.mul_f64(rng.random_range(0.5..1.0));
            return None;
        };
        self.poll.in_flight = true;
        self.poll.sent_at = now;
        Some(Action::QueryPeer {
            peer,
            reason: QueryReason::Poll,
            wait: self.cfg.poll_wait,
        })
    }

    /// Picks the relay to poll: always the same one of the own failure domain while the configuration
    /// is confirmed, else a random one of any failure domain.
    fn pick_relay(&self, now: Duration, rng: &mut impl Rng) -> Option<VmName> {
        let n = self.cfg.relays_per_domain;
        let usable = |m: &Member| self.is_usable(m, now);
        let mut candidates = self.fleet.local_relays(n, usable);
        if !candidates.is_empty() && !self.is_unconfirmed(now) {
            let i = self.fleet.preference() % candidates.len();
            return Some(candidates[i].name.clone());
        }
        candidates.extend(self.fleet.remote_relays(n, usable));
        if candidates.is_empty() {
            return None;
        }
        Some(
            candidates[rng.random_range(0..candidates.len())]
                .name
                .clone(),
        )
    }
}
