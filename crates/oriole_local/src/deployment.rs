//! Starts and stops a whole deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::eyre;
use futures::future::BoxFuture;
use futures::{StreamExt, TryStreamExt, stream};
use oriole_agent::prelude::{AgentDaemon, AgentSettings};
use oriole_entry::prelude::{EntryDaemon, EntrySettings};
use oriole_kernel::logging;
use oriole_standins::faults::ControlServer;
use oriole_types::prelude::*;
use serde::Serialize;
use slog::Logger;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::faults::LocalFaults;
use crate::platform::{Platform, UpstreamVm, loopback};
use crate::spec::DeploymentSpec;
use crate::vm::Vm;

/// Maximum time from the start until the deployment is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks whether the deployment is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons that are started concurrently.
const MAX_CONCURRENT_STARTS: usize = 16;

/// An agent and the settings to restart it with.
pub(crate) struct AgentVm {
    pub(crate) settings: AgentSettings,
    pub(crate) vm: Vm<AgentDaemon>,
}

/// An entry and the settings to restart it with.
pub(crate) struct EntryVm {
    pub(crate) settings: EntrySettings,
    pub(crate) vm: Vm<EntryDaemon>,
}

/// The running parts of a deployment; shared with [`LocalFaults`].
pub(crate) struct Parts {
    pub(crate) platform: Platform,
    pub(crate) agents: Vec<AgentVm>,
    pub(crate) entries: Vec<EntryVm>,
    pub(crate) log: Logger,
}

/// A catalog entry as [`ReadyReport`] lists it.
#[derive(Clone, Debug, Serialize)]
pub struct ReadyEntry {
    /// Name of the catalog entry.
    pub name: EntryName,
    /// Priority of its class.
    pub class: Priority,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// Addresses and keys for an external load driver; `oriole-local` prints them as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct ReadyReport {
    /// Caller addresses of the entries.
    pub caller_addresses: Vec<SocketAddr>,
    /// Account keys by account name.
    pub accounts: BTreeMap<AccountName, String>,
    /// Catalog entries.
    pub entries: Vec<ReadyEntry>,
    /// Path of the settings file for `oriolectl`.
    pub operator: String,
    /// Address of the server that injects faults and reports on the stand-ins.
    pub standins: SocketAddr,
}

/// A running deployment.
pub struct Deployment {
    parts: Arc<Parts>,
    control: ControlServer,
    ready: ReadyReport,
    _settings: TempDir,
}

impl Deployment {
    /// Starts all parts and waits until every entry knows that its upstreams admit work.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start, or if the deployment is not ready in time.
    pub async fn start(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let spec = spec.clone();
        let runtime = tokio::runtime::Handle::current();
        // The future of `start_parts` is not `Send`, because of borrows held across its awaits.
        tokio::task::spawn_blocking(move || runtime.block_on(Self::start_parts(&spec))).await?
    }

    async fn start_parts(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let log = logging::stderr_logger("oriole-local", spec.log_level);
        let platform = Platform::bind(spec).await?;
        let secret = format!(
            "{:016x}{:016x}",
            rand::random::<u64>(),
            rand::random::<u64>()
        );
        let cx = StartContext {
            spec,
            platform: &platform,
            secret: &secret,
            log: &log,
        };
        let agents = start_agents(cx).await?;
        let entries = start_entries(cx).await?;
        platform.vm_list.set(vm_records(&agents, &entries)?);
        let parts = Arc::new(Parts {
            platform,
            agents,
            entries,
            log,
        });
        parts.wait_until_ready().await?;
        let faults = Arc::new(LocalFaults::new(Arc::clone(&parts)));
        let control = ControlServer::bind(parts.platform.ledger.clone(), faults).await?;
        let settings = operator_settings(&parts.platform)?;
        let ready = parts.ready_report(spec, &settings, control.addr());
        Ok(Self {
            parts,
            control,
            ready,
            _settings: settings,
        })
    }

    /// Addresses and keys for an external load driver.
    #[must_use]
    pub fn ready(&self) -> &ReadyReport {
        &self.ready
    }

    /// The stand-ins for the platform, and the upstreams.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.parts.platform
    }

    /// Calls a function with each running entry daemon and collects the results.
    pub fn map_entries<T>(&self, f: impl Fn(&EntryDaemon) -> T) -> Vec<T> {
        let entries = self.parts.entries.iter();
        entries.filter_map(|e| e.vm.with(&f)).collect()
    }

    /// Calls a function with each running agent daemon and collects the results.
    pub fn map_agents<T>(&self, f: impl Fn(&AgentDaemon) -> T) -> Vec<T> {
        let agents = self.parts.agents.iter();
        agents.filter_map(|a| a.vm.with(&f)).collect()
    }

    /// Injects faults into this deployment.
    #[must_use]
    pub fn faults(&self) -> LocalFaults {
        LocalFaults::new(Arc::clone(&self.parts))
    }

    /// Shuts down gracefully: entries first, then agents.
    pub async fn shutdown(self) {
        self.control.shutdown().await;
        let entries = self.parts.entries.iter();
        futures::future::join_all(entries.map(|e| e.vm.shutdown(EntryDaemon::shutdown))).await;
        let agents = self.parts.agents.iter();
        futures::future::join_all(agents.map(|a| a.vm.shutdown(AgentDaemon::shutdown))).await;
    }

    /// Shuts one entry down gracefully; returns `false` if it is not running.
    pub async fn shutdown_entry(&self, address: SocketAddr) -> bool {
        let entry = self
            .parts
            .entries
            .iter()
            .find(|e| e.settings.address == address && e.vm.is_running());
        match entry {
            Some(entry) => {
                entry.vm.shutdown(EntryDaemon::shutdown).await;
                true
            }
            None => false,
        }
    }
}

impl Parts {
    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(eyre!("the deployment did not become ready in time"));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether every entry has a catalog and knows that each upstream it uses admits work.
    fn is_ready(&self) -> bool {
        self.entries.iter().all(|entry| {
            let ready = entry.vm.with(|d| {
                let state = d.state();
                let served_count = state.fleet.served_vms(&state.name).len();
                let admitting_count = count_admitting(&state.fleet.loads());
                state.catalog().is_ok() && served_count > 0 && admitting_count == served_count
            });
            ready.unwrap_or(false)
        })
    }

    fn ready_report(
        &self,
        spec: &DeploymentSpec,
        settings: &TempDir,
        standins: SocketAddr,
    ) -> ReadyReport {
        let entries = spec.catalog.entries.iter();
        ReadyReport {
            caller_addresses: self.entries.iter().map(|e| e.settings.address).collect(),
            accounts: spec.keys.clone(),
            entries: entries
                .map(|(name, entry)| ReadyEntry {
                    name: name.clone(),
                    class: entry.class.priority,
                    idempotent: entry.class.idempotent,
                })
                .collect(),
            operator: operator_path(settings).display().to_string(),
            standins,
        }
    }
}

/// Number of upstreams whose last load report says that they admit work.
fn count_admitting(loads: &BTreeMap<VmName, LoadReport>) -> usize {
    loads.values().filter(|l| l.limit > 0 && !l.leaving).count()
}

/// What is needed to start the daemons.
#[derive(Clone, Copy)]
struct StartContext<'a> {
    spec: &'a DeploymentSpec,
    platform: &'a Platform,
    secret: &'a str,
    log: &'a Logger,
}

async fn start_agents(cx: StartContext<'_>) -> eyre::Result<Vec<AgentVm>> {
    let starts = cx.platform.upstreams.iter().map(|u| start_agent_vm(cx, u));
    stream::iter(starts)
        .buffered(MAX_CONCURRENT_STARTS)
        .try_collect()
        .await
}

async fn start_agent_vm(cx: StartContext<'_>, upstream_vm: &UpstreamVm) -> eyre::Result<AgentVm> {
    let mut settings = AgentSettings {
        name: upstream_vm.name.clone(),
        domain: upstream_vm.domain.clone(),
        pool: upstream_vm.pool.clone(),
        address: loopback(),
        upstream: upstream_vm.upstream.addr(),
        store: cx.platform.store.addr(),
        vm_list: cx.platform.vm_list.addr(),
        fleet_secrets: vec![cx.secret.to_owned()],
        vm_list_period_ms: cx.spec.vm_list_period_ms,
        log_level: "warning".into(),
    };
    let vm = Vm::start(cx.spec.daemon_threads, start_agent(&settings, cx.log)).await?;
    if let Some(address) = vm.with(AgentDaemon::address) {
        settings.address = address;
    }
    Ok(AgentVm { settings, vm })
}

async fn start_entries(cx: StartContext<'_>) -> eyre::Result<Vec<EntryVm>> {
    let domains = cx.spec.catalog.domains.keys().cycle();
    let numbered = (1..=cx.spec.entries).zip(domains);
    let starts = numbered.map(|(i, domain)| start_entry_vm(cx, i, domain));
    stream::iter(starts)
        .buffered(MAX_CONCURRENT_STARTS)
        .try_collect()
        .await
}

async fn start_entry_vm(
    cx: StartContext<'_>,
    number: usize,
    domain: &DomainName,
) -> eyre::Result<EntryVm> {
    let mut settings = EntrySettings {
        name: VmName::new(&format!("entry-{number}")),
        domain: domain.clone(),
        address: loopback(),
        peer_address: loopback(),
        store: cx.platform.store.addr(),
        vm_list: cx.platform.vm_list.addr(),
        fleet_secrets: vec![cx.secret.to_owned()],
        vm_list_period_ms: cx.spec.vm_list_period_ms,
        endpoint_ttl_ms: cx.spec.endpoint_ttl_ms,
        memory_mb: cx.spec.entry_memory_mb,
        log_level: "warning".into(),
    };
    let vm = Vm::start(cx.spec.daemon_threads, start_entry(&settings, cx.log)).await?;
    if let Some((address, peer)) = vm.with(|d| (d.address(), d.peer_address())) {
        settings.address = address;
        settings.peer_address = peer;
    }
    Ok(EntryVm { settings, vm })
}

/// Returns a future that starts an agent daemon.
pub(crate) fn start_agent(
    settings: &AgentSettings,
    log: &Logger,
) -> BoxFuture<'static, eyre::Result<AgentDaemon>> {
    let log = log.new(slog::o!("vm" => settings.name.to_string()));
    let settings = settings.clone();
    Box::pin(async move { AgentDaemon::bind(&settings, log).await })
}

/// Returns a future that starts an entry daemon.
pub(crate) fn start_entry(
    settings: &EntrySettings,
    log: &Logger,
) -> BoxFuture<'static, eyre::Result<EntryDaemon>> {
    let log = log.new(slog::o!("vm" => settings.name.to_string()));
    let settings = settings.clone();
    Box::pin(async move { EntryDaemon::bind(&settings, log).await })
}

/// The VM list: all agents and entries, live.
fn vm_records(agents: &[AgentVm], entries: &[EntryVm]) -> eyre::Result<Vec<VmRecord>> {
    let agents = agents.iter().map(|a| VmRecord {
        name: a.settings.name.clone(),
        domain: a.settings.domain.clone(),
        role: VmRole::Upstream {
            pool: a.settings.pool.clone(),
        },
        address: a.settings.address,
        peer_address: a.settings.address,
        state: VmState::Live,
    });
    let entries = entries.iter().map(|e| VmRecord {
        name: e.settings.name.clone(),
        domain: e.settings.domain.clone(),
        role: VmRole::Entry,
        address: e.settings.address,
        peer_address: e.settings.peer_address,
        state: VmState::Live,
    });
    let records: Vec<VmRecord> = agents.chain(entries).collect();
    if records.iter().any(|r| r.address.port() == 0) {
        return Err(eyre!("a daemon has no address"));
    }
    Ok(records)
}

/// Path of the settings file for `oriolectl`.
fn operator_path(dir: &TempDir) -> std::path::PathBuf {
    dir.path().join("oriolectl.toml")
}

/// Writes the settings file with which `oriolectl` reaches this deployment.
fn operator_settings(platform: &Platform) -> eyre::Result<TempDir> {
    let dir = tempfile::tempdir()?;
    let text = format!(
        "store = \"{}\"\nvm_list = \"{}\"\nauthor = \"local\"\n",
        platform.store.addr(),
        platform.vm_list.addr()
    );
    std::fs::write(operator_path(&dir), text)?;
    Ok(dir)
}
