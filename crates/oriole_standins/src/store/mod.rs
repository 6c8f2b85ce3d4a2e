//! Stand-in for the platform's key-value store: an HTTP server over [`MemoryStore`] that can inject
//! faults.

mod server;

use std::net::SocketAddr;
use std::time::Duration;

use oriole_store::counters::CallCounts;
use oriole_store::memory::{MemoryStore, MemoryStoreConfig};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use oriole_store::memory::StoreFault;

/// Settings of the store; by default, its rate limits are those of the platform's store.
#[derive(Clone, Debug)]
pub struct StoreServerConfig {
    /// Latency of a call.
    pub latency: Duration,
    /// Latency of a call under [`StoreFault::Slow`].
    pub slow_latency: Duration,
    /// Maximum number of reads and watches per second.
    pub reads_per_s: u32,
    /// Maximum number of writes per second.
    pub writes_per_s: u32,
}

impl Default for StoreServerConfig {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(1),
            slow_latency: Duration::from_secs(3),
            reads_per_s: 2_000,
            writes_per_s: 300,
        }
    }
}

/// A running store. It stops when dropped.
#[derive(Debug)]
pub struct StoreServer {
    addr: SocketAddr,
    store: MemoryStore,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl StoreServer {
    /// Starts the store on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, cfg: StoreServerConfig) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let store = MemoryStore::open(MemoryStoreConfig {
            latency: cfg.latency,
            slow_latency: cfg.slow_latency,
            reads_per_s: Some(cfg.reads_per_s),
            writes_per_s: Some(cfg.writes_per_s),
        });
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(server::accept(
            listener,
            store.clone(),
            stop.clone(),
            tasks.clone(),
        ));
        Ok(Self {
            addr,
            store,
            stop,
            tasks,
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The store behind the server, to inspect it and to inject faults into single writes.
    #[must_use]
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Applies a fault to all calls; [`StoreFault::Up`] removes it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Counts of the calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.store.counts()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn shutdown(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
