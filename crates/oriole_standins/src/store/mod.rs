//! Stand-in of the platform's store: an HTTP server over [`MemoryStore`] with switchable faults.

mod server;

use std::net::SocketAddr;
use std::time::Duration;

use oriole_store::counters::CallCounts;
use oriole_store::memory::{MemoryStore, MemoryStoreConfig};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use oriole_store::memory::StoreFault;

/// Settings of the stand-in; the rates default to those of the platform's service.
#[derive(Clone, Debug)]
pub struct StoreServerConfig {
    /// Time a call takes at the server.
    pub latency: Duration,
    /// Time a call takes under [`StoreFault::Slow`].
    pub slow_latency: Duration,
    /// Most reads and watches a second.
    pub reads_per_s: u32,
    /// Most writes a second.
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

/// Running handle of the stand-in. It stops when dropped.
#[derive(Debug)]
pub struct StoreServer {
    addr: SocketAddr,
    store: MemoryStore,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl StoreServer {
    /// Binds an address and serves it; port 0 takes a free one.
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

    /// The address it serves.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The store behind it, to look at and to script faults of single writes.
    #[must_use]
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }

    /// Calls counted so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.store.counts()
    }

    /// Stops serving, closes every connection and waits until all tasks ended.
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
