//! Recovering maps after a restart: from the own engine or from a peer.

use std::time::Duration;

use oriole_placement::map::MapId;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, RankId};

impl RankAgent {
    /// Requests the maps of the newest committed switch that are needed and missing.
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

    /// Sends a map to a peer that requested it. If only the engine has it, reads it from there, so
    /// that a later request can be answered.
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
