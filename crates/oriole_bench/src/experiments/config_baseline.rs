//! The baseline for distributing a configuration: every process watches one value.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oriole_store::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::config_fleet::{BACKOFF, FleetSize, open_store};

/// Store key of the value.
const KEY: &str = "config";
/// Longest wait of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of an account in the value.
const ACCOUNT_BYTES: usize = 250;
/// Pause after a refused write.
const OPERATOR_PAUSE: Duration = Duration::from_millis(100);

/// Processes that each watch the value. They do not decode it, which favours the baseline.
pub(super) struct BaselineFleet {
    pub(super) store: MemoryStore,
    value_bytes: usize,
    processes: Vec<BaselineProcess>,
}

struct BaselineProcess {
    revision: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for BaselineProcess {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BaselineFleet {
    /// Opens the store and starts all processes.
    pub(super) async fn start(size: FleetSize) -> Self {
        let mut fleet = Self {
            store: open_store(),
            value_bytes: size.accounts * ACCOUNT_BYTES,
            processes: Vec::new(),
        };
        fleet.apply(1).await;
        for _ in 0..size.processes {
            fleet.processes.push(BaselineProcess::start(&fleet.store));
        }
        fleet
    }

    /// Writes a revision; retries until the store accepts it.
    pub(super) async fn apply(&self, revision: u64) {
        let mut value = revision.to_be_bytes().to_vec();
        value.resize(self.value_bytes, 0);
        while self
            .store
            .put(KEY, value.clone().into(), Precondition::Any)
            .await
            .is_err()
        {
            sleep(OPERATOR_PAUSE).await;
        }
    }

    /// Restarts the processes with the given indices.
    pub(super) fn restart(&mut self, indices: impl Iterator<Item = usize>) {
        for i in indices {
            self.processes[i] = BaselineProcess::start(&self.store);
        }
    }

    /// Waits until every process holds a revision, or until `timeout`; returns the seconds it took.
    pub(super) async fn time_until_all_hold(&self, revision: u64, timeout: Duration) -> f64 {
        let started_at = Instant::now();
        let holds = |p: &BaselineProcess| p.revision.load(Ordering::Relaxed) >= revision;
        while !self.processes.iter().all(holds) && started_at.elapsed() < timeout {
            sleep(Duration::from_millis(2)).await;
        }
        started_at.elapsed().as_secs_f64()
    }
}

impl BaselineProcess {
    fn start(store: &MemoryStore) -> Self {
        let revision = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(follow(store.clone(), Arc::clone(&revision)));
        Self { revision, task }
    }
}

async fn follow(store: MemoryStore, revision: Arc<AtomicU64>) {
    let mut after = StoreVersion::default();
    let mut failures = 0;
    loop {
        match store.watch(KEY, after, WATCH_TIMEOUT).await {
            Ok(found) => {
                failures = 0;
                let Some(found) = found else { continue };
                after = found.version;
                if let Some(bytes) = found.value.first_chunk() {
                    revision.store(u64::from_be_bytes(*bytes), Ordering::Relaxed);
                }
            }
            Err(_) => {
                failures += 1;
                let pause = BACKOFF.pause(failures, &mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}
