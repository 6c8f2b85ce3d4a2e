//! Heartbeats and pulls between the daemons of the model.

use std::time::Duration;

use oriole_fleet::prelude::{Change, Item};
use oriole_gateway::fleet_view::PrefixRevisions;
use oriole_gateway::freshness::{Confirmation, ConfirmationId};
use oriole_gateway::mesh::HEARTBEAT_INTERVAL;
use oriole_gateway::mesh::message::{ConfirmationRecord, Heartbeat};
use oriole_gateway::mesh::relay::CLOSED_PULL_DELAY;
use rand::RngExt as _;

use super::{Daemon, EXCHANGE_TIMEOUT, FANOUT, Model, PULL_DELAY, index};

impl Model {
    pub(super) fn heartbeat(&mut self, i: usize) {
        self.update_role(i);
        let (now, prefix) = (self.now, self.prefix);
        let daemon = &mut self.daemons[i];
        daemon.next_heartbeat = now + HEARTBEAT_INTERVAL;
        daemon.record.heartbeat += 1;
        let mut confirmations = vec![ConfirmationRecord::default(); daemon.view.digests().0.len()];
        if let Some(confirmation) = daemon.freshness.confirmation(prefix) {
            confirmations[prefix] = ConfirmationRecord {
                digest: daemon.view.digests().0[prefix],
                age_ms: Some((now - confirmation.as_of).as_millis() as u32),
                incarnation: confirmation.id.incarnation,
                number: confirmation.id.number,
            };
        }
        let heartbeat = Heartbeat {
            from: Some(daemon.record.clone()),
            view_revisions: daemon.view.revisions().0.clone(),
            confirmations,
            ..Heartbeat::default()
        };
        let mut targets: Vec<usize> = (0..self.daemons.len()).filter(|t| *t != i).collect();
        while targets.len() > FANOUT {
            let n = self.rng.random_range(0..targets.len());
            targets.swap_remove(n);
        }
        for target in targets {
            if self.can_reach(i, target) {
                self.on_heartbeat(target, &heartbeat);
            }
        }
        let daemon = &self.daemons[i];
        let own = daemon
            .view
            .revisions()
            .0
            .iter()
            .zip(daemon.relay.closed_since());
        let own = own.map(|(held, closed)| closed.map_or(*held, |_| u64::MAX));
        let own = PrefixRevisions(own.collect());
        let Some(ahead) = daemon.members.member_ahead(now, PULL_DELAY, &own) else {
            return;
        };
        // Which of several equal members is picked depends on the process. Drawn from the model's
        // numbers, so that runs are repeatable.
        let revisions = &ahead.view_revisions;
        let equal = daemon.members.ready(now);
        let equal = equal.filter(|m| m.view_revisions == *revisions);
        let mut peers: Vec<usize> = equal.map(|m| index(m.peer_address)).collect();
        peers.sort_unstable();
        let peer = peers[self.rng.random_range(0..peers.len())];
        let since = daemon.view.revisions().clone();
        self.pull(i, peer, &since);
    }

    fn on_heartbeat(&mut self, i: usize, heartbeat: &Heartbeat) {
        let (now, prefix) = (self.now, self.prefix);
        let record = &heartbeat.confirmations[prefix];
        let daemon = &mut self.daemons[i];
        let as_of = record
            .age_ms
            .map(|ms| now - Duration::from_millis(ms.into()));
        let from = heartbeat.from.as_ref().unwrap();
        if from.domain == daemon.record.domain
            && let Some(as_of) = as_of
        {
            daemon.relay.on_peer_confirmation(prefix, as_of);
        }
        let own = daemon.view.revisions().clone();
        daemon.members.on_heartbeat(now, heartbeat.clone(), &own);
        let is_closed = daemon.relay.closed_since().any(|since| since.is_some());
        if is_closed && heartbeat.view_revisions[prefix] > own.0[prefix] {
            let at = (now + CLOSED_PULL_DELAY).max(daemon.pull_allowed_at);
            daemon.pull_at.get_or_insert(at);
        }
        if record.digest == daemon.view.digests().0[prefix]
            && let Some(as_of) = as_of
        {
            let id = ConfirmationId {
                incarnation: record.incarnation,
                number: record.number,
            };
            self.confirm(i, Confirmation { id, as_of });
        }
    }

    pub(super) fn pull_closed(&mut self, i: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        let daemon = &mut self.daemons[i];
        daemon.pull_at = None;
        let closed: Vec<Option<u64>> = daemon.relay.closed_since().collect();
        let held = daemon.view.revisions().0.iter().zip(&closed);
        let own = held.map(|(held, closed)| closed.map_or(u64::MAX, |_| *held));
        let own = PrefixRevisions(own.collect());
        let domain = &daemon.record.domain;
        let members = &daemon.members;
        let peer = members.random_member_ahead(now, CLOSED_PULL_DELAY, &own, domain, rng);
        if let Some(peer) = peer.map(|m| index(m.peer_address)) {
            let since = closed.into_iter().map(|since| since.unwrap_or(u64::MAX));
            self.pull(i, peer, &PrefixRevisions(since.collect()));
            let (sender, digest) = (&self.daemons[peer], |d: &Daemon| d.view.digests().0.clone());
            if self.can_reach(i, peer)
                && digest(sender) == digest(&self.daemons[i])
                && let Some(confirmation) = sender.freshness.confirmation(self.prefix)
            {
                self.confirm(i, confirmation);
            }
        }
    }

    fn pull(&mut self, i: usize, peer: usize, since: &PrefixRevisions) {
        let now = self.now;
        if !self.can_reach(i, peer) {
            self.daemons[i].pull_allowed_at = now + EXCHANGE_TIMEOUT;
            return;
        }
        self.outcome.pulls += 1;
        let place = self.place(i);
        let items = self.daemons[peer].view.items_since(since).into_iter();
        let changes = items.map(|(key, held)| match held.value.clone() {
            Some(value) => Change::Put(Item {
                key: key.to_owned(),
                value,
                revision: held.revision,
            }),
            None => Change::Removed {
                key: key.to_owned(),
                revision: held.revision,
            },
        });
        let changes: Vec<Change> = changes.collect();
        let daemon = &mut self.daemons[i];
        daemon.pull_allowed_at = now + HEARTBEAT_INTERVAL;
        let before = daemon.view.digests().clone();
        for change in changes {
            daemon.view.apply(now, change);
        }
        if *daemon.view.digests() != before {
            daemon.freshness.on_missed_change(now, self.prefix, place);
        }
    }
}
