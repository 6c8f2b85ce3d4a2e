//! Decides whom to ask for the configuration and when.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::config::SpreadConfig;
use super::members::{Fleet, Member};
use super::start::Start;
use super::suspects::Suspects;

/// Longest time between two looks at what is due.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Shortest time between two looks at what is due.
const MIN_SLEEP: Duration = Duration::from_millis(5);
/// First pause after a failure of the store.
const FIRST_STORE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failures of the store.
const MAX_STORE_PAUSE: Duration = Duration::from_secs(4);

/// Why a peer is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AskReason {
    /// To hear of the next revision.
    Poll,
    /// A message showed that the peer holds a newer revision.
    Hint,
    /// To learn which revision it holds, without its contents.
    Probe,
    /// To take over the whole configuration.
    Adopt,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the root, and what it names if it is newer.
    ReadStore {
        /// Longest time for it.
        timeout: Duration,
    },
    /// Watch the root, and read what it names when it is newer.
    WatchStore {
        /// Wait of the watch.
        wait: Duration,
        /// Longest time for it beyond the wait.
        timeout: Duration,
    },
    /// Ask a peer.
    AskPeer {
        /// Peer.
        peer: VmName,
        /// Why.
        reason: AskReason,
        /// Wait at the peer.
        wait: Duration,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The fleet has these members now.
    Members(Vec<Member>),
    /// A message of a peer showed its revision.
    Hint {
        /// Revision it holds.
        revision: Revision,
        /// Peer.
        peer: VmName,
    },
    /// A call to the store ended. Anything newer is installed by now.
    StoreEnded {
        /// The stored revision, zero if there is none; absent if the call failed.
        revision: Option<Revision>,
        /// Revision in force now.
        held: Revision,
    },
    /// A question to a peer ended. Anything newer is installed by now.
    PeerEnded {
        /// Peer.
        peer: VmName,
        /// Why it was asked.
        reason: AskReason,
        /// What it answered; absent if it failed or its answer could not be used.
        answer: Option<PeerSays>,
        /// Revision in force now.
        held: Revision,
    },
}

/// What a peer says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSays {
    /// Revision it holds.
    pub revision: Revision,
    /// Age of its last confirmation.
    pub confirmed_age: Option<Duration>,
}

/// The machine. Times are times since the process started.
#[derive(Debug)]
pub struct SpreadMachine {
    pub(super) cfg: SpreadConfig,
    pub(super) fleet: Fleet,
    pub(super) suspects: Suspects,
    pub(super) held: Revision,
    confirmed_at: Option<Duration>,
    relay: bool,
    pub(super) store: StoreTurn,
    poll: PollTurn,
    hint_busy: bool,
    pub(super) start: Start,
}

/// The next call to the store.
#[derive(Debug, Default)]
pub(super) struct StoreTurn {
    pub(super) busy: bool,
    pub(super) failures: u32,
    pub(super) due: Duration,
    /// Whether `due` was already brought forward for lack of confirmation.
    hurried: bool,
}

/// The next poll.
#[derive(Debug, Default)]
struct PollTurn {
    busy: bool,
    due: Duration,
    asked_at: Duration,
}

impl SpreadMachine {
    /// The machine of a process that holds nothing.
    #[must_use]
    pub fn new(cfg: SpreadConfig, me: Member) -> Self {
        Self {
            fleet: Fleet::new(me),
            suspects: Suspects::new(cfg.suspect_time),
            held: Revision::default(),
            confirmed_at: None,
            relay: true,
            store: StoreTurn::default(),
            poll: PollTurn::default(),
            hint_busy: false,
            start: Start::default(),
            cfg,
        }
    }

    /// Takes an event and gives what is due.
    pub fn handle(&mut self, event: Event, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let was_starting = self.held == Revision::default();
        match event {
            Event::Tick => {}
            Event::Members(members) => self.set_members(members),
            Event::Hint { revision, peer } => actions.extend(self.hint(revision, peer, now)),
            Event::StoreEnded { revision, held } => self.store_ended(revision, held, now, rng),
            Event::PeerEnded {
                peer,
                reason,
                answer,
                held,
            } => {
                self.peer_ended(&peer, reason, answer, held, now);
                if was_starting && self.held > Revision::default() && !self.relay {
                    self.store.due = self.backstop_due(now, rng);
                }
            }
        }
        self.update_relay(now, rng);
        if self.held == Revision::default() {
            self.advance_start(now, rng, &mut actions);
        } else {
            actions.extend(self.next_store_call(now, rng));
            actions.extend(self.next_poll(now, rng));
        }
        actions
    }

    /// When to look again at what is due.
    #[must_use]
    pub fn wake_at(&self, now: Duration) -> Duration {
        let store = (!self.store.busy).then_some(self.store.due);
        let poll = (!self.poll.busy).then_some(self.poll.due);
        let starting = self.held == Revision::default();
        let start = starting.then(|| self.start.wake_at(self.cfg.start_patience));
        let due = [store, poll].into_iter().flatten();
        let due = due.chain(start.into_iter().flatten());
        let next = due.filter(|t| *t > now).min();
        next.unwrap_or(Duration::MAX)
            .clamp(now + MIN_SLEEP, now + MAX_SLEEP)
    }

    /// Whether the process watches the store for its peers.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.relay
    }

    /// When the store last confirmed what is held, directly or through peers.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    pub(super) fn is_usable(&self, m: &Member, now: Duration) -> bool {
        self.suspects.is_usable(&m.name, now)
    }

    /// Whether the process is a relay by the list of members alone.
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
            self.backstop_due(now, rng)
        };
    }

    fn backstop_due(&self, now: Duration, rng: &mut impl Rng) -> Duration {
        now + self
            .cfg
            .backstop_interval
            .mul_f64(rng.random_range(0.5..1.5))
    }

    fn is_unconfirmed(&self, now: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|t| now.saturating_sub(t) > self.cfg.wide_after)
    }

    fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn hint(&mut self, revision: Revision, peer: VmName, now: Duration) -> Option<Action> {
        let wanted = self.held > Revision::default() && revision > self.held;
        if !wanted || self.hint_busy || !self.suspects.is_usable(&peer, now) {
            return None;
        }
        self.hint_busy = true;
        Some(Action::AskPeer {
            peer,
            reason: AskReason::Hint,
            wait: Duration::ZERO,
        })
    }

    fn store_ended(
        &mut self,
        revision: Option<Revision>,
        held: Revision,
        now: Duration,
        rng: &mut impl Rng,
    ) {
        let was_starting = self.held == Revision::default();
        self.held = held;
        self.store.busy = false;
        self.store.hurried = false;
        let Some(revision) = revision else {
            self.store.failures += 1;
            self.store.due = now + self.store_pause(rng);
            self.start.store_gave_nothing = true;
            return;
        };
        self.store.failures = 0;
        self.start.store_gave_nothing |= revision == Revision::default();
        if revision == held && held > Revision::default() {
            self.confirm(now);
        }
        self.store.due = match (self.relay, was_starting && held == Revision::default()) {
            // Nothing was ever applied: look again in a while.
            (_, true) => now + MAX_SLEEP,
            (true, false) => now,
            (false, false) => self.backstop_due(now, rng),
        };
    }

    fn store_pause(&self, rng: &mut impl Rng) -> Duration {
        if !self.relay && self.held > Revision::default() {
            return self.cfg.wide_spread.mul_f64(rng.random());
        }
        let doublings = self.store.failures.saturating_sub(1).min(8);
        let longest = FIRST_STORE_PAUSE * (1 << doublings);
        longest
            .min(MAX_STORE_PAUSE)
            .mul_f64(rng.random_range(0.5..1.0))
    }

    fn store_timeout(&self) -> Duration {
        self.cfg.store_timeout * (1 << self.store.failures.min(4))
    }

    fn peer_ended(
        &mut self,
        peer: &VmName,
        reason: AskReason,
        answer: Option<PeerSays>,
        held: Revision,
        now: Duration,
    ) {
        self.held = held;
        match reason {
            AskReason::Poll => {
                self.poll.busy = false;
                self.poll.due = now.max(self.poll.asked_at + self.cfg.poll_interval);
            }
            AskReason::Hint => self.hint_busy = false,
            AskReason::Probe | AskReason::Adopt => self.start.peer_ended(peer, reason, answer),
        }
        let Some(says) = answer else {
            // A peer that a fresh process finds down may just be starting too.
            if reason != AskReason::Probe {
                self.suspects.failed(peer, now);
            }
            return;
        };
        self.suspects.answered(peer);
        let age = says.confirmed_age.filter(|_| says.revision == held);
        if let Some(age) = age.filter(|_| held > Revision::default()) {
            self.confirm(now.saturating_sub(age));
        }
    }

    pub(super) fn read_store(&mut self) -> Action {
        self.store.busy = true;
        Action::ReadStore {
            timeout: self.store_timeout(),
        }
    }

    fn next_store_call(&mut self, now: Duration, rng: &mut impl Rng) -> Option<Action> {
        if self.store.busy {
            return None;
        }
        if !self.relay && !self.store.hurried && self.is_unconfirmed(now) {
            self.store.hurried = true;
            let hurried = now + self.cfg.wide_spread.mul_f64(rng.random());
            self.store.due = self.store.due.min(hurried);
        }
        if now < self.store.due {
            return None;
        }
        if !self.relay {
            return Some(self.read_store());
        }
        self.store.busy = true;
        Some(Action::WatchStore {
            wait: if self.is_listed_relay() {
                self.cfg.watch_wait
            } else {
                self.cfg.stand_in_wait
            },
            timeout: self.store_timeout(),
        })
    }

    fn next_poll(&mut self, now: Duration, rng: &mut impl Rng) -> Option<Action> {
        let wanted = !self.relay || self.is_unconfirmed(now);
        if !wanted || self.poll.busy || now < self.poll.due {
            return None;
        }
        let Some(peer) = self.pick_source(now, rng) else {
            self.poll.due = now + MAX_SLEEP.mul_f64(rng.random_range(0.5..1.0));
            return None;
        };
        self.poll.busy = true;
        self.poll.asked_at = now;
        Some(Action::AskPeer {
            peer,
            reason: AskReason::Poll,
            wait: self.cfg.poll_wait,
        })
    }

    /// The relay to poll: always the same one near by while it confirms, else any relay.
    fn pick_source(&self, now: Duration, rng: &mut impl Rng) -> Option<VmName> {
        let n = self.cfg.relays_per_domain;
        let usable = |m: &Member| self.is_usable(m, now);
        let mut near = self.fleet.near_relays(n, usable);
        if !near.is_empty() && !self.is_unconfirmed(now) {
            let i = self.fleet.preference() % near.len();
            return Some(near[i].name.clone());
        }
        near.extend(self.fleet.far_relays(n, usable));
        if near.is_empty() {
            return None;
        }
        Some(near[rng.random_range(0..near.len())].name.clone())
    }
}
