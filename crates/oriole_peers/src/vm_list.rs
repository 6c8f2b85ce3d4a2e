//! Reads the platform's VM list periodically. The list can lag behind the actual state.

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

/// Timeout of a read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why the VM list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum VmListError {
    /// The platform did not answer in time.
    #[error("no answer of the VM list in time")]
    Timeout,
    /// The platform could not be reached, or answered with an error.
    #[error("the VM list cannot be read: {0}")]
    Unreachable(String),
    /// The answer is not a VM list.
    #[error("the VM list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A source of the platform's VM list.
#[async_trait]
pub trait VmListSource: Send + Sync + 'static {
    /// Reads the list, which can lag behind the actual state.
    async fn fetch(&self) -> Result<VmList, VmListError>;
}

/// Reads the VM list from the platform over HTTP.
pub struct HttpVmList {
    client: Client<HttpConnector, Empty<Bytes>>,
    uri: String,
}

impl HttpVmList {
    /// Creates a client of the VM list's HTTP server.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{addr}/vms");
        Self { client, uri }
    }

    async fn read(&self) -> Result<VmList, VmListError> {
        let uri = self.uri.parse().map_err(unreachable_error)?;
        let response = self.client.get(uri).await.map_err(unreachable_error)?;
        if !response.status().is_success() {
            return Err(VmListError::Unreachable(response.status().to_string()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await
            .map_err(unreachable_error)?;
        let body = body.to_bytes();
        metrics::counter!("oriole_vm_list_bytes_total").increment(body.len() as u64);
        Ok(serde_json::from_slice(&body)?)
    }
}

fn unreachable_error(e: impl std::fmt::Display) -> VmListError {
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

/// Reads the VM list periodically and keeps the newest one.
///
/// If a read fails, the current list remains. A list is never replaced by an older one.
pub struct VmListFollower {
    rx: watch::Receiver<Arc<VmList>>,
    _task: AbortOnDropHandle<()>,
}

impl VmListFollower {
    /// Starts reading about once per `period`. The list is empty until the first read succeeds.
    #[must_use]
    pub fn spawn(source: Arc<dyn VmListSource>, period: Duration) -> Self {
        let (tx, rx) = watch::channel(Arc::default());
        let task = tokio::spawn(follow(source, period, tx));
        Self {
            rx,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Waits for a list that is newer than `version`, for at most `wait`; returns the newest list.
    pub async fn wait_for_newer(&self, version: u64, wait: Duration) -> Arc<VmList> {
        let mut rx = self.rx.clone();
        // On a timeout the current list is returned.
        let _ = timeout(wait, rx.wait_for(|list| list.version > version)).await;
        self.current()
    }

    /// The newest list read.
    #[must_use]
    pub fn current(&self) -> Arc<VmList> {
        self.rx.borrow().clone()
    }

    /// A receiver that is notified of each newer list.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<VmList>> {
        self.rx.clone()
    }
}

async fn follow(source: Arc<dyn VmListSource>, period: Duration, tx: watch::Sender<Arc<VmList>>) {
    loop {
        match source.fetch().await {
            Ok(list) => {
                tx.send_if_modified(|current| replace_if_newer(current, list));
            }
            Err(_) => {
                metrics::counter!("oriole_vm_list_read_failed_total").increment(1);
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

fn replace_if_newer(current: &mut Arc<VmList>, list: VmList) -> bool {
    let newer = list.version > current.version;
    if newer {
        *current = Arc::new(list);
    }
    newer
}
