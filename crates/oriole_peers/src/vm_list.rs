//! Following the platform's lagging VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriole_types::fleet::VmList;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Longest time one read of the list may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why the VM list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum VmListError {
    /// The platform did not answer in time.
    #[error("the VM list did not answer in time")]
    Timeout,
    /// The platform could not be reached or refused.
    #[error("the VM list cannot be read: {0}")]
    Unreachable(String),
    /// The answer is not a VM list.
    #[error("the VM list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The platform's VM list.
#[async_trait]
pub trait VmListSource: Send + Sync + 'static {
    /// Reads the list, which lags behind the truth.
    async fn fetch(&self) -> Result<VmList, VmListError>;
}

/// The VM list over HTTP.
pub struct HttpVmList {
    client: Client<HttpConnector, Empty<Bytes>>,
    uri: String,
}

impl HttpVmList {
    /// A client of the list at some address.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{addr}/vms");
        Self { client, uri }
    }

    async fn read(&self) -> Result<VmList, VmListError> {
        let uri = self.uri.parse().map_err(unreachable)?;
        let response = self.client.get(uri).await.map_err(unreachable)?;
        if !response.status().is_success() {
            return Err(VmListError::Unreachable(response.status().to_string()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await
            .map_err(unreachable)?;
        let body = body.to_bytes();
        metrics::counter!("oriole_vm_list_bytes_total").increment(body.len() as u64);
        Ok(serde_json::from_slice(&body)?)
    }
}

fn unreachable(e: impl std::fmt::Display) -> VmListError {
    VmListError::Unreachable(e.to_string())
}

#[async_trait]
impl VmListSource for HttpVmList {
    async fn fetch(&self) -> Result<VmList, VmListError> {
        timeout(READ_TIMEOUT, self.read())
            .await
            .map_err(|_| VmListError::Timeout)?
    }
}

/// Follows the VM list by reading it from time to time.
///
/// A list that cannot be read leaves the one held in force; an older list never replaces a newer.
pub struct VmListFollower {
    rx: watch::Receiver<Arc<VmList>>,
    _task: AbortOnDropHandle<()>,
}

impl VmListFollower {
    /// Starts following; the list is empty until the first read.
    #[must_use]
    pub fn spawn(source: Arc<dyn VmListSource>, period: Duration) -> Self {
        let (tx, rx) = watch::channel(Arc::default());
        let task = tokio::spawn(follow(source, period, tx));
        Self {
            rx,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Waits until a list newer than some version is known, at most for `wait`; returns the newest.
    pub async fn wait_for_newer(&self, version: u64, wait: Duration) -> Arc<VmList> {
        let mut rx = self.rx.clone();
        // On a timeout the list at hand is the answer.
        let _ = timeout(wait, rx.wait_for(|list| list.version > version)).await;
        self.current()
    }

    /// The newest list read.
    #[must_use]
    pub fn current(&self) -> Arc<VmList> {
        self.rx.borrow().clone()
    }

    /// A receiver that is told of each newer list.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<VmList>> {
        self.rx.clone()
    }
}

async fn follow(source: Arc<dyn VmListSource>, period: Duration, tx: watch::Sender<Arc<VmList>>) {
    loop {
        match source.fetch().await {
            Ok(list) => {
                tx.send_if_modified(|held| replace_if_newer(held, list));
            }
            Err(_) => {
                metrics::counter!("oriole_vm_list_read_failed_total").increment(1);
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

fn replace_if_newer(held: &mut Arc<VmList>, list: VmList) -> bool {
    let newer = list.version > held.version;
    if newer {
        *held = Arc::new(list);
    }
    newer
}
