//! Peers that failed lately.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::ids::VmName;

/// Most doublings of the time for which a peer is left out.
const MAX_DOUBLINGS: u32 = 4;

/// Remembers which peers failed and leaves them out for a time that doubles with each failure.
#[derive(Debug)]
pub(super) struct Suspects {
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

    /// Forgets peers that are gone.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.by_name.retain(|name, _| keep(name));
    }
}
