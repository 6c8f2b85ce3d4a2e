//! Peers that recently failed.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::ids::VmName;

/// Maximum number of doublings of the time for which a peer is excluded.
const MAX_DOUBLINGS: u32 = 4;

/// Excludes peers that failed, for a duration that doubles with each failure.
#[derive(Debug)]
pub(super) struct Suspects {
    /// Duration of the exclusion after the first failure.
    base_duration: Duration,
    by_name: HashMap<VmName, Suspect>,
}

#[derive(Debug)]
struct Suspect {
    failures: u32,
    excluded_until: Duration,
}

impl Suspects {
    pub(super) fn new(base_duration: Duration) -> Self {
        let by_name = HashMap::new();
        Self {
            base_duration,
            by_name,
        }
    }

    pub(super) fn record_failure(&mut self, name: &VmName, now: Duration) {
        let suspect = self.by_name.entry(name.clone()).or_insert(Suspect {
            failures: 0,
            excluded_until: now,
        });
        suspect.excluded_until =
            now + self.base_duration * (1 << suspect.failures.min(MAX_DOUBLINGS));
        suspect.failures += 1;
    }

    pub(super) fn record_answer(&mut self, name: &VmName) {
        self.by_name.remove(name);
    }

    pub(super) fn is_usable(&self, name: &VmName, now: Duration) -> bool {
        self.by_name
            .get(name)
            .is_none_or(|s| s.excluded_until <= now)
    }

    /// Keeps only the peers for which `keep` returns `true`.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.by_name.retain(|name, _| keep(name));
    }
}
