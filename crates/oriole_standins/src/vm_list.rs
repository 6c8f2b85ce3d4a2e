//! The platform's VM list, which shows changes after a lag; `GET /vms` returns it.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriole_types::fleet::{VmList, VmRecord, VmState};
use oriole_types::ids::VmName;
use tokio::time::Instant;

use crate::server::{self, Body, ConnectionSwitch, Handler, HttpServer};

/// Settings of the VM list.
#[derive(Clone, Copy, Debug)]
pub struct VmListConfig {
    /// Time from a change until readers see it.
    pub lag: Duration,
}

impl Default for VmListConfig {
    fn default() -> Self {
        Self {
            lag: Duration::from_millis(500),
        }
    }
}

/// The HTTP server of the VM list.
#[derive(Debug)]
pub struct VmListServer {
    server: HttpServer,
    core: Arc<Core>,
}

impl VmListServer {
    /// Starts the server on an ephemeral loopback port with a list that readers see at once.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(cfg: VmListConfig, vms: Vec<VmRecord>) -> io::Result<Self> {
        let core = Arc::new(Core {
            lag: cfg.lag,
            versions: Mutex::new(VecDeque::from([ListVersion {
                changed_at: Instant::now(),
                list: sorted_list(1, vms),
            }])),
        });
        // The first list has no lag: these VMs are taken to have existed before the server started.
        let server = HttpServer::bind(core.clone(), ConnectionSwitch::default()).await?;
        Ok(Self { server, core })
    }

    /// The address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the list; readers see the change after the lag.
    pub fn set(&self, vms: Vec<VmRecord>) {
        self.core.change(|list| *list = vms);
    }

    /// Marks a VM as live or leaving; readers see the change after the lag.
    pub fn set_vm_state(&self, name: &VmName, state: VmState) {
        self.core.change(|list| {
            for vm in list.iter_mut().filter(|vm| vm.name == *name) {
                vm.state = state;
            }
        });
    }

    /// The newest list, which readers may not see yet.
    #[must_use]
    pub fn newest(&self) -> VmList {
        self.core.newest()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn shutdown(&self) {
        self.server.shutdown().await;
    }
}

#[derive(Debug)]
struct Core {
    lag: Duration,
    /// Oldest first: the list that readers see, then the newer ones.
    versions: Mutex<VecDeque<ListVersion>>,
}

#[derive(Debug)]
struct ListVersion {
    changed_at: Instant,
    list: VmList,
}

impl Core {
    fn change(&self, f: impl FnOnce(&mut Vec<VmRecord>)) {
        let newest = self.newest();
        let mut vms = newest.vms;
        f(&mut vms);
        self.lock().push_back(ListVersion {
            changed_at: Instant::now(),
            list: sorted_list(newest.version + 1, vms),
        });
    }

    fn newest(&self) -> VmList {
        let versions = self.lock();
        versions.back().map(|v| v.list.clone()).unwrap_or_default()
    }

    fn visible(&self) -> VmList {
        let mut versions = self.lock();
        while versions.len() > 1 && versions[1].changed_at.elapsed() >= self.lag {
            versions.pop_front();
        }
        versions.front().map(|v| v.list.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<ListVersion>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Handler for Core {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/vms") => server::json(StatusCode::OK, &self.visible()),
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn sorted_list(version: u64, mut vms: Vec<VmRecord>) -> VmList {
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    VmList { version, vms }
}
