//! How a fresh process comes by its first configuration.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::machine::{Action, PeerState, QueryReason, SpreadMachine};

/// Shortest time for which a process that is no relay leaves the store to the relays when no peer
/// holds a configuration, as when all processes start at once.
const NO_HOLDER_READ_DELAY: Duration = Duration::from_secs(2);
/// First reads after that pause are spread over this.
const NO_HOLDER_READ_WINDOW: Duration = Duration::from_secs(4);
/// State of a start: rounds of probes until a configuration is installed.
#[derive(Debug, Default)]
pub(super) struct Startup {
    pending_probes: Vec<VmName>,
    answers: Vec<(VmName, PeerState)>,
    next_round_at: Duration,
    started_at: Option<Duration>,
    round_deadline: Option<Duration>,
    adopting: bool,
    /// Whether the first read of the store was given a time.
    read_scheduled: bool,
    /// Whether the store failed, or held no catalog, since the process started.
    pub(super) store_failed_or_empty: bool,
}

impl Startup {
    /// The times at which something may be due, in no order.
    pub(super) fn wake_at(&self, store_timeout: Duration) -> [Duration; 2] {
        let started_at = self.started_at.unwrap_or_default();
        let round = self.round_deadline.unwrap_or(self.next_round_at);
        [round, started_at + store_timeout]
    }

    pub(super) fn on_peer_call_finished(
        &mut self,
        peer: &VmName,
        reason: QueryReason,
        answer: Option<PeerState>,
    ) {
        self.pending_probes.retain(|p| p != peer);
        if reason == QueryReason::Adopt {
            self.adopting = false;
            self.answers.retain(|(p, _)| p != peer);
            return;
        }
        let useful = answer.filter(|a| a.revision > Revision::default());
        self.answers.extend(useful.map(|a| (peer.clone(), a)));
    }

    /// A peer with the newest revision; any of them, so that none has to serve all.
    fn pick_newest(&self, rng: &mut impl Rng) -> Option<VmName> {
        let newest = self.answers.iter().map(|(_, a)| a.revision).max()?;
        let holders = self.answers.iter().filter(|(_, a)| a.revision == newest);
        let holders: Vec<_> = holders.collect();
        Some(holders[rng.random_range(0..holders.len())].0.clone())
    }

    /// Whether any answer was confirmed by the store lately.
    fn is_confirmed(&self, max_confirmed_age: Duration) -> bool {
        let ages = self.answers.iter().filter_map(|(_, a)| a.confirmed_age);
        ages.min().is_some_and(|age| age <= max_confirmed_age)
    }
}

impl SpreadMachine {
    pub(super) fn advance_startup(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        self.startup.started_at.get_or_insert(now);
        self.start_round(now, rng, actions);
        self.schedule_first_read(now, rng);
        if self.startup.read_scheduled && !self.store.in_flight && now >= self.store.due {
            actions.push(self.read_store());
        }
        if self.is_round_over(now) {
            self.finish_round(now, rng, actions);
        }
    }

    /// Asks some peers, near and far, which revision they hold.
    fn start_round(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let idle = self.startup.round_deadline.is_none() && !self.startup.adopting;
        if !idle || now < self.startup.next_round_at || self.fleet.is_alone() {
            return;
        }
        let peers = self.pick_probe_targets(rng);
        let probes = peers.iter().map(|peer| Action::QueryPeer {
            peer: peer.clone(),
            reason: QueryReason::Probe,
            wait: Duration::ZERO,
        });
        actions.extend(probes);
        self.startup.answers.clear();
        self.startup.pending_probes = peers;
        self.startup.round_deadline = Some(now + self.cfg.probe_timeout);
    }

    /// The relays near by, which get the first configuration of all, and random peers, half of them
    /// from other failure domains.
    fn pick_probe_targets(&self, rng: &mut impl Rng) -> Vec<VmName> {
        let relays = self
            .fleet
            .local_relays(self.cfg.relays_per_domain, |_| true);
        let mut picked: Vec<_> = relays.into_iter().map(|m| m.name.clone()).collect();
        let others = self.fleet.peers().filter(|m| !picked.contains(&m.name));
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            others.partition(|m| m.domain == self.fleet.me.domain);
        while picked.len() < self.cfg.startup_probes && !(local.is_empty() && remote.is_empty()) {
            let from_remote = !remote.is_empty() && (local.is_empty() || picked.len() % 2 == 0);
            let from = if from_remote { &mut remote } else { &mut local };
            let i = rng.random_range(0..from.len());
            picked.push(from.swap_remove(i).name.clone());
        }
        picked
    }

    /// The store is read when the peers turn out not to help: by relays at once, by others later.
    fn schedule_first_read(&mut self, now: Duration, rng: &mut impl Rng) {
        let alone = self.fleet.is_alone();
        let confirmed = self.startup.is_confirmed(self.cfg.max_confirmed_age);
        if self.startup.read_scheduled || !(alone || self.is_round_over(now) && !confirmed) {
            return;
        }
        self.startup.read_scheduled = true;
        let delay = if self.is_listed_relay() {
            Duration::ZERO
        } else if self.startup.answers.is_empty() {
            NO_HOLDER_READ_DELAY + NO_HOLDER_READ_WINDOW.mul_f64(rng.random())
        } else {
            self.cfg.startup_read_window.mul_f64(rng.random())
        };
        self.store.due = now + delay;
    }

    fn is_round_over(&self, now: Duration) -> bool {
        self.startup.round_deadline.is_some_and(|round_deadline| {
            self.startup.pending_probes.is_empty() || now >= round_deadline
        })
    }

    /// Whether the store had its chance to confirm what the peers hold.
    fn has_waited_for_store(&self, now: Duration) -> bool {
        let started_at = self.startup.started_at.unwrap_or(now);
        self.startup.store_failed_or_empty || now >= started_at + self.cfg.startup_store_timeout
    }

    /// Takes over the newest peer's configuration if a peer was confirmed lately or the store
    /// cannot be had; else waits for the store and asks again.
    fn finish_round(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.startup.adopting {
            return;
        }
        let trusted =
            self.startup.is_confirmed(self.cfg.max_confirmed_age) || self.has_waited_for_store(now);
        match self.startup.pick_newest(rng) {
            Some(peer) if trusted => {
                actions.push(Action::QueryPeer {
                    peer,
                    reason: QueryReason::Adopt,
                    wait: Duration::ZERO,
                });
                self.startup.adopting = true;
            }
            // The store's answer is awaited; what the peers said stays good until then.
            Some(_) => {}
            None => {
                self.startup.round_deadline = None;
                let delay = self.cfg.probe_timeout.mul_f64(rng.random_range(0.5..1.0));
                self.startup.next_round_at = now + delay;
            }
        }
    }
}
