//! Getting back the bodies of maps after memory was lost: from the own engine or from a peer.

use std::time::Duration;

use oriole_placement::map::MapId;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, RankId};

impl RankAgent {
    /// Asks for the bodies of maps that are in force or decided.
    pub(super) fn fetch_maps(&mut self, now: Duration, out: &mut Actions) {
        let due = self
            .last_fetch_at
            .is_none_or(|at| now >= at + self.cfg.hello_interval);
        if !self.synced || !due {
            return;
        }
        let ids = self
            .committed
            .map_or([None, None], |c| [Some(c.next), c.base]);
        let needed = self.needed_maps();
        let wanted = |id: &MapId| needed.contains(id) && !self.maps.contains_key(id);
        let missing: Vec<MapId> = ids.into_iter().flatten().filter(wanted).collect();
        for id in missing {
            self.last_fetch_at = Some(now);
            self.fetch_map(id, out);
        }
    }

    fn fetch_map(&self, id: MapId, out: &mut Actions) {
        if self.engine_holds(id) {
            out.push(RankAction::ReadMap(id));
            return;
        }
        for rank in (0..self.ranks as RankId).filter(|r| *r != self.own_rank) {
            out.push(RankAction::Send(
                Party::Rank(rank),
                GroupMessage::WantMap(id),
            ));
        }
    }

    /// Answers a peer that asks for a body; has the engine asked if it is not at hand.
    pub(super) fn on_map_request(&self, to: RankId, id: MapId, out: &mut Actions) {
        if let Some(map) = self.maps.get(&id) {
            let message = GroupMessage::HaveMap(map.clone());
            out.push(RankAction::Send(Party::Rank(to), message));
        } else if self.engine_holds(id) {
            out.push(RankAction::ReadMap(id));
        }
    }

    fn engine_holds(&self, id: MapId) -> bool {
        let engine = self.engine.as_ref();
        engine.is_some_and(|e| e.staged.contains(&id))
    }
}
