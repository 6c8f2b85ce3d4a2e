//! How a fresh process comes by its first configuration.

use std::time::Duration;

use oriole_types::ids::{Revision, VmName};
use rand::{Rng, RngExt as _};

use super::machine::{Action, AskReason, PeerSays, SpreadMachine};

/// Longest spread of first reads when no peer holds a configuration, as when all processes start
/// at once; relays do not wait.
const COLD_SPREAD: Duration = Duration::from_secs(2);

/// State of a start: rounds of probes until a configuration is installed.
#[derive(Debug, Default)]
pub(super) struct Start {
    waiting: Vec<VmName>,
    answers: Vec<(VmName, PeerSays)>,
    round_due: Duration,
    deadline: Option<Duration>,
    adopting: bool,
    /// Whether the first read of the store was given a time.
    read_planned: bool,
    /// Whether the store failed, or held no catalog, since the process started.
    pub(super) store_gave_nothing: bool,
}

impl Start {
    pub(super) fn wake_at(&self) -> Duration {
        self.deadline.unwrap_or(self.round_due)
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

    /// The peer with the newest revision.
    fn newest(&self) -> Option<&VmName> {
        let newest = self.answers.iter().max_by_key(|(_, a)| a.revision);
        newest.map(|(peer, _)| peer)
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
        let peers = self.pick_probed(now, rng);
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

    /// Random peers, half of them from other failure domains if there are any.
    fn pick_probed(&self, now: Duration, rng: &mut impl Rng) -> Vec<VmName> {
        let usable = self.fleet.peers().filter(|m| self.is_usable(m, now));
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            usable.partition(|m| m.domain == self.fleet.me.domain);
        let mut picked = Vec::new();
        while picked.len() < self.cfg.start_peers && !(near.is_empty() && far.is_empty()) {
            let from_far = !far.is_empty() && (near.is_empty() || picked.len() % 2 == 0);
            let from = if from_far { &mut far } else { &mut near };
            let i = rng.random_range(0..from.len());
            picked.push(from.swap_remove(i).name.clone());
        }
        picked
    }

    /// Relays read at once; others when their peers turn out not to help.
    fn plan_first_read(&mut self, now: Duration, rng: &mut impl Rng) {
        if self.start.read_planned {
            return;
        }
        if self.is_listed_relay() {
            self.start.read_planned = true;
            self.store.due = now;
        } else if self.round_is_over(now) && !self.start.is_confirmed(self.cfg.fresh_age) {
            self.start.read_planned = true;
            let spread = if self.start.answers.is_empty() {
                COLD_SPREAD
            } else {
                self.cfg.start_spread
            };
            self.store.due = now + spread.mul_f64(rng.random());
        }
    }

    fn round_is_over(&self, now: Duration) -> bool {
        self.start
            .deadline
            .is_some_and(|deadline| self.start.waiting.is_empty() || now >= deadline)
    }

    /// Takes over the newest peer's configuration if a peer was confirmed lately or the store
    /// cannot be had; else waits for the store and asks again.
    fn end_round(&mut self, now: Duration, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if self.start.adopting {
            return;
        }
        let trusted = self.start.is_confirmed(self.cfg.fresh_age) || self.start.store_gave_nothing;
        match self.start.newest() {
            Some(peer) if trusted => {
                actions.push(Action::AskPeer {
                    peer: peer.clone(),
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
