//! What the daemons of the model know, compared with its store.

use std::collections::HashMap;
use std::time::Duration;

use oriole_gateway::fleet_view::PrefixRevisions;

use super::Model;

impl Model {
    /// Checks that the daemon knows each change in time.
    pub(super) fn check(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let held: HashMap<&str, (u64, bool)> = daemon
            .view
            .items_since(&PrefixRevisions::default())
            .into_iter()
            .map(|(key, held)| (key, (held.revision, held.value.is_some())))
            .collect();
        let mut longest = Duration::ZERO;
        let failures = [&self.scenario.resets, &self.scenario.silence];
        let now = self.now;
        daemon.pending.retain(|(revision, key, at)| {
            // A listing does not show the revision of a removal.
            let is_removed = !self.items[key].1;
            let is_held = held.get(key.as_str()).map_or(is_removed, |(r, exists)| {
                r >= revision || (is_removed && !exists)
            });
            let mut lag = now - *at;
            // The agreed time counts from the end of a failure of the store.
            for failure in failures.into_iter().flatten() {
                if *at < failure.end && now >= failure.start {
                    lag = lag.min(now.saturating_sub(failure.end));
                }
            }
            longest = longest.max(lag);
            !is_held
        });
        // A view that is never confirmed again counts as well.
        let confirmed_at = daemon.freshness.confirmed_at(self.prefix);
        for failure in failures.into_iter().flatten() {
            if now >= failure.end && confirmed_at < Some(failure.end) {
                let recovery = &mut self.outcome.longest_recovery;
                *recovery = (*recovery).max(now - failure.end);
            }
        }
        self.outcome.longest_lag = self.outcome.longest_lag.max(longest);
    }
}
