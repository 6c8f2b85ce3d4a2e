//! Number of executions per idempotency key, shared by all plain services. Tests check with it that
//! a request is executed at most once.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts executions per key. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Ledger {
    /// Counts one execution and returns the number of executions of the key so far.
    pub fn record(&self, key: &str) -> u64 {
        let mut runs = self.lock();
        let n = runs.entry(key.to_owned()).or_default();
        *n += 1;
        *n
    }

    /// Number of executions per key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().clone()
    }

    /// Keys with more than one execution.
    #[must_use]
    pub fn repeated_keys(&self) -> Vec<String> {
        let runs = self.lock();
        runs.iter()
            .filter(|(_, n)| **n > 1)
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
