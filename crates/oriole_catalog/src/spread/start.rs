//! How a fresh process comes by its first configuration.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::machine::{Action, AskReason, PeerSays, SpreadMachine};

/// Shortest time for which a process that is no relay leaves the store to the relays when no peer
/// holds a configuration, as when all processes start at once.
const COLD_PAUSE: Duration = Duration::from_secs(2);
/// First reads after that pause are spread over this.
const COLD_SPREAD: Duration = Duration::from_secs(4);
/// State of a start: rounds of probes until a configuration is installed.
#[derive(Debug, Default)]
pub(super) struct Start {
    waiting: Vec<VmName>,
    answers: Vec<(VmName, PeerSays)>,
    round_due: Duration,
    began_at: Option<Duration>,
    deadline: Option<Duration>,
    adopting: bool,
    /// Whether the first read of the store was given a time.
    read_planned: bool,
    /// Whether the store failed, or held no catalog, since the process started.
    pub(super) store_gave_nothing: bool,
}

impl Start {
    /// The times at which something may be due, in no order.
    pub(super) fn wake_at(&self, patience: Duration) -> [Duration; 2] {
        let began_at = self.began_at.unwrap_or_default();
        let round = self.deadline.unwrap_or(self.round_due);
        [round, began_at + patience]
    }

    pub(super) fn peer_ended(
        &mut self,
        peer: &VmName,
        reason: AskReason,
        answer: Option<PeerSays>,
    ) {
        self.waiting.retain(|p| p != peer);
        if reason == AskReason::Adopt {
            self.adopting = false;
            self.answers.retain(|(p, _)| p != peer);
            return;
        }
        let useful = answer.filter(|a| a.revision > Revision::default());
        self.answers.extend(useful.map(|a| (peer.clone(), a)));
    }

    /// A peer with the newest revision; any of them, so that none has to serve all.
    fn newest(&self, rng: &mut impl Rng) -> Option<VmName> {
        let newest = self.answers.iter().map(|(_, a)| a.revision).max()?;
        let holders = self.answers.iter().filter(|(_, a)| a.revision == newest);
        let holders: Vec<_> = holders.collect();
        Some(holders[rng.random_range(0..holders.len())].0.clone())
    }

    /// Whether any answer was confirmed by the store lately.
    fn is_confirmed(&self, fresh_age: Duration) -> bool {
        let ages = self.answers.iter().filter_map(|(_, a)| a.confirmed_age);
        ages.min().is_some_and(|age| age <= fresh_age)
    }
}

impl SpreadMachine {
    pub(super) fn advance_start(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        self.start.began_at.get_or_insert(now);
        self.begin_round(now, rng, actions);
        self.plan_first_read(now, rng);
        if self.start.read_planned && !self.store.busy && now >= self.store.due {
            actions.push(self.read_store());
        }
        if self.round_is_over(now) {
            self.end_round(now, rng, actions);
        }
    }

    /// Asks some peers, near and far, which revision they hold.
    fn begin_round(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let idle = self.start.deadline.is_none() && !self.start.adopting;
        if !idle || now < self.start.round_due || self.fleet.is_alone() {
            return;
        }
        let peers = self.pick_probed(rng);
        let probes = peers.iter().map(|peer| Action::AskPeer {
            peer: peer.clone(),
            reason: AskReason::Probe,
            wait: Duration::ZERO,
        });
        actions.extend(probes);
        self.start.answers.clear();
        self.start.waiting = peers;
        self.start.deadline = Some(now + self.cfg.start_timeout);
    }

    /// The relays near by, which get the first configuration of all, and random peers, half of them
    /// from other failure domains.
    fn pick_probed(&self, rng: &mut impl Rng) -> Vec<VmName> {
        let relays = self.fleet.near_relays(self.cfg.relays_per_domain, |_| true);
        let mut picked: Vec<_> = relays.into_iter().map(|m| m.name.clone()).collect();
        let others = self.fleet.peers().filter(|m| !picked.contains(&m.name));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            others.partition(|m| m.domain == self.fleet.me.domain);
        while picked.len() < self.cfg.start_peers && !(near.is_empty() && far.is_empty()) {
            let from_far = !far.is_empty() && (near.is_empty() || picked.len() % 2 == 0);
            let from = if from_far { &mut far } else { &mut near };
            let i = rng.random_range(0..from.len());
            picked.push(from.swap_remove(i).name.clone());
        }
        picked
    }

    /// The store is read when the peers turn out not to help: by relays at once, by others later.
    fn plan_first_read(&mut self, now: Duration, rng: &mut impl Rng) {
        let alone = self.fleet.is_alone();
        let helped = self.start.is_confirmed(self.cfg.fresh_age);
        if self.start.read_planned || !(alone || self.round_is_over(now) && !helped) {
            return;
        }
        self.start.read_planned = true;
        let pause = if self.is_listed_relay() {
            Duration::ZERO
        } else if self.start.answers.is_empty() {
            COLD_PAUSE + COLD_SPREAD.mul_f64(rng.random())
        } else {
            self.cfg.start_spread.mul_f64(rng.random())
        };
        self.store.due = now + pause;
    }

    fn round_is_over(&self, now: Duration) -> bool {
        self.start
            .deadline
            .is_some_and(|deadline| self.start.waiting.is_empty() || now >= deadline)
    }

    /// Whether the store had its chance to confirm what the peers hold.
    fn is_store_out(&self, now: Duration) -> bool {
        let began_at = self.start.began_at.unwrap_or(now);
        self.start.store_gave_nothing || now >= began_at + self.cfg.start_patience
    }

    /// Takes over the newest peer's configuration if a peer was confirmed lately or the store
    /// cannot be had; else waits for the store and asks again.
    fn end_round(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.start.adopting {
            return;
        }
        let trusted = self.start.is_confirmed(self.cfg.fresh_age) || self.is_store_out(now);
        match self.start.newest(rng) {
            Some(peer) if trusted => {
                actions.push(Action::AskPeer {
                    peer,
                    reason: AskReason::Adopt,
                    wait: Duration::ZERO,
                });
                self.start.adopting = true;
            }
            // The store's answer is awaited; what the peers said stays good until then.
            Some(_) => {}
            None => {
                self.start.deadline = None;
                let pause = self.cfg.start_timeout.mul_f64(rng.random_range(0.5..1.0));
                self.start.round_due = now + pause;
            }
        }
    }
}
