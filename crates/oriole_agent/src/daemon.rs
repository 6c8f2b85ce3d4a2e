//! Start and graceful shutdown of an agent daemon.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use oriole_admission::gate::{Gate, GateConfig};
use oriole_catalog::prelude::ConfigFollower;
use oriole_claims::config::ClaimsConfig;
use oriole_claims::service::ClaimService;
use oriole_claims::ticket::TicketSecret;
use oriole_kernel::app::{App, Plugin, RunningApp, Service};
use oriole_kernel::clock::Clock;
use oriole_kernel::error::KernelError;
use oriole_kernel::registry::Registry;
use oriole_peers::platform::{
    CHANNELS, CONFIG, PLATFORM, PlatformConfig, PlatformPlugin, STORE, StoreHandle, VM_LIST,
};
use oriole_peers::pool::ChannelPool;
use oriole_peers::vm_list::VmListFollower;
use oriole_types::catalog::{Catalog, Pool, PoolKind};
use oriole_types::ids::{Incarnation, PoolName};
use oriole_wire::channel::ChannelConfig;
use oriole_wire::handshake::Identity;
use oriole_wire::server::{WireServer, WireServerConfig};
use slog::{Logger, info};
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::core::AgentCore;
use crate::gate::GateHandle;
use crate::group::{GroupConnections, GroupMembership, follow_groups};
use crate::handler::AgentHandler;
use crate::settings::AgentSettings;
use crate::upstream;
use crate::watchers::Watchers;

/// Name of the service that runs the agent.
const AGENT_SERVICE: &str = "agent";

/// Registry key of the agent's state.
const AGENT_CORE_KEY: &str = "agent.core";

/// Interval at which a shutdown checks whether work is still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running agent daemon.
pub struct AgentDaemon {
    app: RunningApp,
    core: Arc<AgentCore>,
    address: SocketAddr,
}

impl AgentDaemon {
    /// Waits for the first configuration, then binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound, or the configuration does not have the agent's pool.
    pub async fn bind(settings: &AgentSettings, log: Logger) -> eyre::Result<Self> {
        let incarnation = Incarnation(rand::random::<u64>() | 1);
        let channel = channel_config(settings, incarnation)?;
        let mut app = App::new();
        app.add_plugin(&PlatformPlugin(PlatformConfig {
            store: settings.store,
            vm_list: settings.vm_list,
            vm_list_period: Duration::from_millis(settings.vm_list_period_ms),
            channel: channel.clone(),
            log: log.clone(),
        }))?;
        let address = Arc::new(Mutex::default());
        app.add_plugin(&AgentPlugin {
            settings: settings.clone(),
            channel,
            log,
            address: Arc::clone(&address),
        })?;
        let app = app.start().await?;
        let core = app.registry().get(AGENT_CORE_KEY)?;
        let bound = *address.lock().unwrap_or_else(PoisonError::into_inner);
        let address = bound.ok_or_else(|| eyre::eyre!("the agent service did not start"))?;
        Ok(Self { app, core, address })
    }

    /// Address that peers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State that handlers and tasks share, for programs that embed the daemon.
    #[must_use]
    pub fn core(&self) -> &Arc<AgentCore> {
        &self.core
    }

    /// Refuses new work, waits until all running work has finished, and stops.
    pub async fn shutdown(mut self) {
        self.app.stop().await;
    }
}

fn channel_config(
    settings: &AgentSettings,
    incarnation: Incarnation,
) -> eyre::Result<ChannelConfig> {
    let secrets = settings.secrets().map_err(|e| eyre::eyre!(e))?;
    let identity = Identity {
        name: settings.name.to_string(),
        domain: settings.domain.to_string(),
        incarnation: incarnation.0,
    };
    Ok(ChannelConfig::new(identity, secrets))
}

struct AgentPlugin {
    settings: AgentSettings,
    channel: ChannelConfig,
    log: Logger,
    address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Plugin for AgentPlugin {
    fn name(&self) -> &'static str {
        AGENT_SERVICE
    }

    fn build(&self, app: &mut App) -> Result<(), KernelError> {
        app.add_service(Box::new(AgentService {
            settings: self.settings.clone(),
            channel: self.channel.clone(),
            log: self.log.clone(),
            address: Arc::clone(&self.address),
            running: Mutex::default(),
        }));
        Ok(())
    }
}

struct AgentService {
    settings: AgentSettings,
    channel: ChannelConfig,
    log: Logger,
    address: Arc<Mutex<Option<SocketAddr>>>,
    running: Mutex<Option<RunningAgent>>,
}

struct RunningAgent {
    core: Arc<AgentCore>,
    peer_server: WireServer,
    _watchers: Watchers,
    _group_task: AbortOnDropHandle<()>,
}

impl AgentService {
    async fn serve(&self, registry: &Registry) -> Result<RunningAgent, KernelError> {
        let config: Arc<ConfigFollower> = registry.get(CONFIG)?;
        let vm_list: Arc<VmListFollower> = registry.get(VM_LIST)?;
        let store: Arc<StoreHandle> = registry.get(STORE)?;
        let channels: Arc<ChannelPool> = registry.get(CHANNELS)?;
        let catalog = config.ready().await;
        let pool = self.find_pool(&catalog)?;
        let core = Arc::new(self.new_core(config, Arc::clone(&vm_list), &store, pool));
        let handler = AgentHandler::new(Arc::clone(&core));
        let peer_server = WireServer::bind(
            self.settings.address,
            WireServerConfig::new(self.channel.identity.clone(), self.channel.secrets.clone()),
            Arc::new(handler),
        )
        .await
        .map_err(|e| start_error(format!("cannot bind {}: {e}", self.settings.address)))?;
        let watchers = Watchers::spawn(&core, vm_list.subscribe());
        let connections = GroupConnections {
            store: Arc::clone(&store.0),
            channels,
            upstream: self.settings.upstream,
        };
        let group = follow_groups(Arc::clone(&core), connections, vm_list.subscribe());
        Ok(RunningAgent {
            core,
            peer_server,
            _watchers: watchers,
            _group_task: AbortOnDropHandle::new(tokio::spawn(group)),
        })
    }

    fn find_pool<'a>(&self, catalog: &'a Catalog) -> Result<&'a Pool, KernelError> {
        let name = &self.settings.pool;
        catalog.pools.get(name).ok_or_else(|| {
            let known: Vec<&str> = catalog.pools.keys().map(PoolName::as_str).collect();
            start_error(format!(
                "pool = {:?}: the catalog has {}",
                name.as_str(),
                known.join(", ")
            ))
        })
    }

    fn new_core(
        &self,
        config: Arc<ConfigFollower>,
        vm_list: Arc<VmListFollower>,
        store: &StoreHandle,
        pool: &Pool,
    ) -> AgentCore {
        let settings = &self.settings;
        let clock = Clock::start();
        let incarnation = Incarnation(self.channel.identity.incarnation);
        let gate_config = GateConfig {
            vm: settings.name.clone(),
            kind: pool.kind,
            cold_concurrency: pool.cold_concurrency,
            warm_concurrency: pool.warm_concurrency,
            first_crash_number: rand::random(),
            ..GateConfig::default()
        };
        let secrets = settings.fleet_secrets.iter().map(String::as_bytes);
        let claims_config = ClaimsConfig {
            partitions: pool.claim_partitions,
            eager: pool.kind == PoolKind::Service,
            start_unix_ms: unix_ms(),
            ..ClaimsConfig::new(
                settings.pool.clone(),
                settings.name.clone(),
                incarnation,
                TicketSecret::rotating(secrets),
            )
        };
        AgentCore {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            pool: settings.pool.clone(),
            incarnation,
            clock,
            log: self.log.clone(),
            catalog: config.subscribe(),
            config,
            vm_list,
            gate: GateHandle::new(clock, gate_config),
            upstream: upstream::client_for(pool.kind, settings.upstream),
            claims: ClaimService::spawn(claims_config, Arc::clone(&store.0)),
            group: GroupMembership::default(),
            is_upstream_lost: AtomicBool::new(true),
            probe_now: Notify::new(),
        }
    }
}

/// Current Unix time in milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn start_error(message: String) -> KernelError {
    KernelError::Start {
        name: AGENT_SERVICE.into(),
        message,
    }
}

#[async_trait]
impl Service for AgentService {
    fn name(&self) -> &'static str {
        AGENT_SERVICE
    }

    fn dependencies(&self) -> &'static [&'static str] {
        &[PLATFORM]
    }

    async fn start(&self, registry: &Registry) -> Result<(), KernelError> {
        let running = self.serve(registry).await?;
        let address = running.peer_server.addr();
        info!(self.log, "agent started"; "step" => "start", "address" => %address);
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        registry.insert(AGENT_CORE_KEY, Arc::clone(&running.core))?;
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
        Ok(())
    }

    async fn stop(&self) {
        let running = self
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(running) = running {
            running.drain(&self.log).await;
        }
    }
}

impl RunningAgent {
    async fn drain(self, log: &Logger) {
        info!(log, "agent leaving"; "step" => "drain");
        self.core.gate.update(Gate::set_leaving);
        while !self.core.gate.is_idle() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.peer_server.shutdown().await;
        info!(log, "agent stopped"; "step" => "end");
    }
}
