//! How a starting process gets its first configuration.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::machine::{Action, PeerState, QueryReason, SpreadMachine};

/// Minimum delay of the first store read of a process that is not a relay when no peer holds a
/// configuration. When all processes start at once, the relays read the store first.
const NO_HOLDER_READ_DELAY: Duration = Duration::from_secs(2);
/// Window after that delay over which these reads are distributed.
const NO_HOLDER_READ_WINDOW: Duration = Duration::from_secs(4);

/// State of a starting process, which probes peers in rounds until a configuration is installed.
#[derive(Debug, Default)]
pub(super) struct Startup {
    /// Peers that have not answered the probes of this round.
    pending_probes: Vec<VmName>,
    /// Peers that hold a configuration.
    answers: Vec<(VmName, PeerState)>,
    next_round_at: Duration,
    started_at: Option<Duration>,
    /// When the current round ends; `None` between rounds.
    round_deadline: Option<Duration>,
    /// Whether a query for a peer's configuration is in flight.
    adopting: bool,
    /// Whether the time of the first store read is set.
    read_scheduled: bool,
    /// Whether a store call since the process started failed or found no catalog.
    pub(super) store_failed_or_empty: bool,
}

impl Startup {
    /// Returns the times at which an action may be due, unsorted.
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

    /// Picks a peer that holds the newest revision. The choice is random to distribute the load.
    fn pick_newest(&self, rng: &mut impl Rng) -> Option<VmName> {
        let newest = self.answers.iter().map(|(_, a)| a.revision).max()?;
        let holders = self.answers.iter().filter(|(_, a)| a.revision == newest);
        let holders: Vec<_> = holders.collect();
        Some(holders[rng.random_range(0..holders.len())].0.clone())
    }

    /// Returns whether a peer reported a confirmation that is recent enough.
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

    /// Probes some peers of the own and of other failure domains for their revision.
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

    /// Picks the relays of the own failure domain, which get a configuration first, and random peers,
    /// half of them from other failure domains.
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

    /// Schedules the first store read if no peer has a recent confirmation: at once for relays, later
    /// for others.
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

    /// Returns whether to stop waiting for the store to confirm the revisions of the peers.
    fn has_waited_for_store(&self, now: Duration) -> bool {
        let started_at = self.startup.started_at.unwrap_or(now);
        self.startup.store_failed_or_empty || now >= started_at + self.cfg.startup_store_timeout
    }

    /// Adopts the configuration of a peer with the newest revision if a peer has a recent
    /// confirmation or the store is not available. Otherwise waits for the store; if no peer holds a
    /// configuration, schedules another round.
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
            // Keeps the answers of the peers until the store answers.
            Some(_) => {}
            None => {
                self.startup.round_deadline = None;
                let delay = self.cfg.probe_timeout.mul_f64(rng.random_range(0.5..1.0));
                self.startup.next_round_at = now + delay;
            }
        }
    }
}
