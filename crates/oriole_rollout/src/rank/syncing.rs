//! Learning after a start without memory, and answering those that learn.

use std::time::Duration;

use oriole_types::ids::Incarnation;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, Proposal, RankId, Welcome};

impl RankAgent {
    /// Greets the peers that have yet to answer; takes part once all have.
    pub(super) fn greet(&mut self, now: Duration, out: &mut Actions) {
        if self.synced || !self.steering.is_adopted() {
            return;
        }
        if self.views.all_agree() || self.ranks == 1 {
            self.synced = true;
            return;
        }
        if self
            .greeted
            .is_some_and(|at| now < at + self.cfg.hello_interval)
        {
            return;
        }
        self.greeted = Some(now);
        for rank in self.views.unconfirmed_peers() {
            out.push(RankAction::Send(Party::Rank(rank), GroupMessage::Hello));
        }
    }

    /// Answers a greeting, once the own engine obeys this run alone: until then an order of an
    /// earlier run may still change what there is to tell.
    pub(super) fn welcome(&mut self, to: RankId, incarnation: Incarnation, out: &mut Actions) {
        if !self.steering.is_adopted() {
            return;
        }
        let maps = |c: Proposal| {
            let ids = [Some(c.next), c.base].into_iter().flatten();
            ids.filter_map(|id| self.maps.get(&id).cloned()).collect()
        };
        let welcome = Welcome {
            to: incarnation,
            view: self.views.live().to_vec(),
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
            self.learn_commit(committed);
        }
        for map in welcome.maps {
            self.keep_map(map);
        }
        if !self.synced {
            self.views.record_answer(from, welcome.view);
        }
    }
}
