//! Recovering state after a restart, and helping restarted peers to do so.

use std::time::Duration;

use oriole_types::ids::Incarnation;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, Proposal, RankId, Welcome};

impl RankAgent {
    /// Sends `Hello` to the peers that have not answered yet; takes part once all have.
    pub(super) fn send_hellos(&mut self, now: Duration, out: &mut Actions) {
        if self.synced || !self.order_tracker.is_adopted() {
            return;
        }
        if self.peer_runs.all_agree() || self.ranks == 1 {
            self.synced = true;
            return;
        }
        if self
            .last_hello_at
            .is_some_and(|at| now < at + self.cfg.hello_interval)
        {
            return;
        }
        self.last_hello_at = Some(now);
        for rank in self.peer_runs.unconfirmed_peers() {
            out.push(RankAction::Send(Party::Rank(rank), GroupMessage::Hello));
        }
    }

    /// Answers a `Hello` once the own engine has obeyed this run: until then an order of an earlier
    /// run could still commit a switch that the answer would not contain.
    pub(super) fn on_hello(&mut self, to: RankId, incarnation: Incarnation, out: &mut Actions) {
        if !self.order_tracker.is_adopted() {
            return;
        }
        let maps = |c: Proposal| {
            let ids = [Some(c.next), c.base].into_iter().flatten();
            ids.filter_map(|id| self.maps.get(&id).cloned()).collect()
        };
        let welcome = Welcome {
            to: incarnation,
            view: self.peer_runs.live().to_vec(),
            fence: self.fence,
            committed: self.committed,
            maps: self.committed.map(maps).unwrap_or_default(),
        };
        let message = GroupMessage::Welcome(Box::new(welcome));
        out.push(RankAction::Send(Party::Rank(to), message));
    }

    pub(super) fn on_welcome(&mut self, from: RankId, welcome: Welcome) {
        if welcome.to != self.incarnation {
            return;
        }
        self.fence = self.fence.max(welcome.fence);
        if let Some(committed) = welcome.committed {
            self.record_commit(committed);
        }
        for map in welcome.maps {
            self.store_map(map);
        }
        if !self.synced {
            self.peer_runs.record_answer(from, welcome.view);
        }
    }
}
