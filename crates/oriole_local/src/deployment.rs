//! A whole deployment, started and stopped together.

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

/// Longest time from the start to the point where every entry knows every upstream.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at whether the deployment is ready.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// Daemons that are started at once.
const STARTS_AT_ONCE: usize = 16;

/// An agent with what is needed to start it again.
pub(crate) struct AgentVm {
    pub(crate) settings: AgentSettings,
    pub(crate) vm: Vm<AgentDaemon>,
}

/// An entry with what is needed to start it again.
pub(crate) struct EntryVm {
    pub(crate) settings: EntrySettings,
    pub(crate) vm: Vm<EntryDaemon>,
}

/// The parts of a deployment, shared with the faults.
pub(crate) struct Parts {
    pub(crate) platform: Platform,
    pub(crate) agents: Vec<AgentVm>,
    pub(crate) entries: Vec<EntryVm>,
    pub(crate) log: Logger,
}

/// A catalog entry as [`ReadyReport`] lists it.
#[derive(Clone, Debug, Serialize)]
pub struct ReadyEntry {
    /// Name.
    pub name: EntryName,
    /// Class: its priority.
    pub class: Priority,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// What an outside driver needs to know, printed as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct ReadyReport {
    /// Addresses that callers may use.
    pub caller_addresses: Vec<SocketAddr>,
    /// Account keys by account name.
    pub accounts: BTreeMap<AccountName, String>,
    /// Catalog entries.
    pub entries: Vec<ReadyEntry>,
    /// Path of the settings for `oriolectl`.
    pub operator: String,
    /// Address of the stand-ins' control.
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
    /// Starts everything and waits until every entry knows every upstream.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start, or if the deployment is not ready in time.
    pub async fn start(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let spec = spec.clone();
        let runtime = tokio::runtime::Handle::current();
        // The start borrows across its awaits in ways that keep its future from being `Send`.
        tokio::task::spawn_blocking(move || runtime.block_on(Self::start_here(&spec))).await?
    }

    async fn start_here(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let log = logging::stderr_logger("oriole-local", spec.log_level);
        let platform = Platform::bind(spec).await?;
        let secret = format!(
            "{:016x}{:016x}",
            rand::random::<u64>(),
            rand::random::<u64>()
        );
        let boot = Boot {
            spec,
            platform: &platform,
            secret: &secret,
            log: &log,
        };
        let agents = start_agents(boot).await?;
        let entries = start_entries(boot).await?;
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
        let ready = parts.ready(spec, &settings, control.addr());
        Ok(Self {
            parts,
            control,
            ready,
            _settings: settings,
        })
    }

    /// What an outside driver needs to know.
    #[must_use]
    pub fn ready(&self) -> &ReadyReport {
        &self.ready
    }

    /// The platform's stand-ins and the upstreams.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.parts.platform
    }

    /// Runs a look at each running entry daemon.
    pub fn map_entries<T>(&self, look: impl Fn(&EntryDaemon) -> T) -> Vec<T> {
        let entries = self.parts.entries.iter();
        entries.filter_map(|e| e.vm.with(&look)).collect()
    }

    /// Runs a look at each running agent daemon.
    pub fn map_agents<T>(&self, look: impl Fn(&AgentDaemon) -> T) -> Vec<T> {
        let agents = self.parts.agents.iter();
        agents.filter_map(|a| a.vm.with(&look)).collect()
    }

    /// The faults that an outside driver may ask for.
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

    /// Shuts one entry down gracefully; `false` if it does not run.
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
                return Err(eyre!("the deployment is not ready in time"));
            }
            sleep(READY_PERIOD).await;
        }
        Ok(())
    }

    /// Whether every entry has heard of the load of every upstream it serves.
    fn is_ready(&self) -> bool {
        self.entries.iter().all(|entry| {
            let known = entry.vm.with(|d| {
                let state = d.state();
                let served = state.fleet.served(&state.name).len();
                let admitting = admitting(&state.fleet.loads());
                state.catalog().is_ok() && served > 0 && admitting == served
            });
            known.unwrap_or(false)
        })
    }

    fn ready(
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

/// Number of upstreams that told that they admit work.
fn admitting(loads: &BTreeMap<VmName, LoadReport>) -> usize {
    loads.values().filter(|l| l.limit > 0 && !l.leaving).count()
}

/// What the start of the daemons needs.
#[derive(Clone, Copy)]
struct Boot<'a> {
    spec: &'a DeploymentSpec,
    platform: &'a Platform,
    secret: &'a str,
    log: &'a Logger,
}

async fn start_agents(cx: Boot<'_>) -> eyre::Result<Vec<AgentVm>> {
    let starts = cx.platform.upstreams.iter().map(|p| boot_agent(cx, p));
    stream::iter(starts)
        .buffered(STARTS_AT_ONCE)
        .try_collect()
        .await
}

async fn boot_agent(cx: Boot<'_>, placed: &UpstreamVm) -> eyre::Result<AgentVm> {
    let mut settings = AgentSettings {
        name: placed.name.clone(),
        domain: placed.domain.clone(),
        pool: placed.pool.clone(),
        address: loopback(),
        upstream: placed.upstream.addr(),
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

async fn start_entries(cx: Boot<'_>) -> eyre::Result<Vec<EntryVm>> {
    let domains = cx.spec.catalog.domains.keys().cycle();
    let numbered = (1..=cx.spec.entries).zip(domains);
    let starts = numbered.map(|(i, domain)| boot_entry(cx, i, domain));
    stream::iter(starts)
        .buffered(STARTS_AT_ONCE)
        .try_collect()
        .await
}

async fn boot_entry(cx: Boot<'_>, number: usize, domain: &DomainName) -> eyre::Result<EntryVm> {
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
        log_level: "warning".into(),
    };
    let vm = Vm::start(cx.spec.daemon_threads, start_entry(&settings, cx.log)).await?;
    if let Some((address, peer)) = vm.with(|d| (d.address(), d.peer_address())) {
        settings.address = address;
        settings.peer_address = peer;
    }
    Ok(EntryVm { settings, vm })
}

/// Starts an agent daemon with some settings.
pub(crate) fn start_agent(
    settings: &AgentSettings,
    log: &Logger,
) -> BoxFuture<'static, eyre::Result<AgentDaemon>> {
    let log = log.new(slog::o!("vm" => settings.name.to_string()));
    let settings = settings.clone();
    Box::pin(async move { AgentDaemon::bind(&settings, log).await })
}

/// Starts an entry daemon with some settings.
pub(crate) fn start_entry(
    settings: &EntrySettings,
    log: &Logger,
) -> BoxFuture<'static, eyre::Result<EntryDaemon>> {
    let log = log.new(slog::o!("vm" => settings.name.to_string()));
    let settings = settings.clone();
    Box::pin(async move { EntryDaemon::bind(&settings, log).await })
}

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

fn operator_path(dir: &TempDir) -> std::path::PathBuf {
    dir.path().join("oriolectl.toml")
}

/// Writes the settings that `oriolectl` needs to reach this deployment.
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
