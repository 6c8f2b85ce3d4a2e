//! Start and graceful shutdown of an entry daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use oriole_catalog::prelude::ConfigFollower;
use oriole_claims::ticket::TicketSecret;
use oriole_kernel::app::{App, Plugin, RunningApp, Service};
use oriole_kernel::clock::Clock;
use oriole_kernel::error::KernelError;
use oriole_kernel::registry::Registry;
use oriole_peers::platform::{CHANNELS, CONFIG, PLATFORM, PlatformConfig, PlatformPlugin, VM_LIST};
use oriole_peers::pool::ChannelPool;
use oriole_peers::vm_list::VmListFollower;
use oriole_routing::endpoints::{EndpointConfig, EndpointSelector};
use oriole_types::ids::Incarnation;
use oriole_wire::channel::ChannelConfig;
use oriole_wire::handshake::Identity;
use oriole_wire::server::{WireServer, WireServerConfig};
use slog::{Logger, info};
use tokio::time::sleep;

use crate::api::{self, Server};
use crate::fleet::FleetView;
use crate::groups::GroupStatuses;
use crate::liveness::LivenessMonitor;
use crate::memory::RequestMemory;
use crate::peer_handler::PeerHandler;
use crate::poison::PoisonTracker;
use crate::routing::Routing;
use crate::settings::EntrySettings;
use crate::sharers::LimitSharers;
use crate::state::EntryState;
use crate::watchers::Watchers;

/// Name of the service that runs the entry.
const ENTRY_SERVICE: &str = "entry";

/// Registry key of the entry's state.
const ENTRY_STATE_KEY: &str = "entry.state";

/// Interval at which a shutdown checks whether requests are still running.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running entry daemon.
pub struct EntryDaemon {
    app: RunningApp,
    state: Arc<EntryState>,
    address: SocketAddr,
    peer_address: SocketAddr,
}

impl EntryDaemon {
    /// Binds the addresses and starts to serve. Requests are refused until a configuration has been
    /// received.
    ///
    /// # Errors
    ///
    /// Fails if the fleet secrets are invalid or an address cannot be bound.
    pub async fn bind(settings: &EntrySettings, log: Logger) -> eyre::Result<Self> {
        let mut app = App::new();
        app.add_plugin(&PlatformPlugin(platform_config(settings, &log)?))?;
        let addresses = Arc::new(Mutex::default());
        app.add_plugin(&EntryPlugin {
            settings: settings.clone(),
            log,
            addresses: Arc::clone(&addresses),
        })?;
        let app = app.start().await?;
        let state = app.registry().get(ENTRY_STATE_KEY)?;
        let bound = *addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let (address, peer_address) =
            bound.ok_or_else(|| eyre::eyre!("the entry service did not start"))?;
        Ok(Self {
            app,
            state,
            address,
            peer_address,
        })
    }

    /// Address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address that peers connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// State that handlers and tasks share, for programs that embed the daemon.
    #[must_use]
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Shuts down without interrupting a request.
    ///
    /// First the entry announces that it is leaving, so that endpoint answers omit it, and
    /// keeps serving until the answers that callers have cached expire. Then it refuses new
    /// requests and names other entries' addresses. It stops after the last running request.
    pub async fn shutdown(mut self) {
        self.app.stop().await;
    }
}

fn platform_config(settings: &EntrySettings, log: &Logger) -> eyre::Result<PlatformConfig> {
    Ok(PlatformConfig {
        store: settings.store,
        vm_list: settings.vm_list,
        vm_list_period: Duration::from_millis(settings.vm_list_period_ms),
        channel: channel_config(settings)?,
        log: log.clone(),
    })
}

fn channel_config(settings: &EntrySettings) -> eyre::Result<ChannelConfig> {
    let secrets = settings.secrets().map_err(|e| eyre::eyre!(e))?;
    let identity = Identity {
        name: settings.name.to_string(),
        domain: settings.domain.to_string(),
        incarnation: rand::random::<u64>() | 1,
    };
    Ok(ChannelConfig::new(identity, secrets))
}

/// The bound addresses for callers and for peers, in this order; `None` before the start.
type BoundAddresses = Arc<Mutex<Option<(SocketAddr, SocketAddr)>>>;

struct EntryPlugin {
    settings: EntrySettings,
    log: Logger,
    addresses: BoundAddresses,
}

impl Plugin for EntryPlugin {
    fn name(&self) -> &'static str {
        ENTRY_SERVICE
    }

    fn build(&self, app: &mut App) -> Result<(), KernelError> {
        app.add_service(Box::new(EntryService {
            settings: self.settings.clone(),
            log: self.log.clone(),
            addresses: Arc::clone(&self.addresses),
            running: Mutex::default(),
        }));
        Ok(())
    }
}

struct EntryService {
    settings: EntrySettings,
    log: Logger,
    addresses: BoundAddresses,
    running: Mutex<Option<RunningEntry>>,
}

struct RunningEntry {
    state: Arc<EntryState>,
    http_server: Server,
    peer_server: WireServer,
    _watchers: Watchers,
}

impl EntryService {
    fn new_state(&self, registry: &Registry) -> Result<Arc<EntryState>, KernelError> {
        let config: Arc<ConfigFollower> = registry.get(CONFIG)?;
        let channels: Arc<ChannelPool> = registry.get(CHANNELS)?;
        let vm_list: Arc<VmListFollower> = registry.get(VM_LIST)?;
        let incarnation = Incarnation(rand::random::<u64>() | 1);
        let clock = Clock::start();
        let secrets = self.settings.fleet_secrets.iter().map(String::as_bytes);
        let endpoint_config = EndpointConfig {
            ttl_ms: self.settings.endpoint_ttl_ms,
            ..EndpointConfig::default()
        };
        let state = EntryState {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            clock,
            log: self.log.clone(),
            catalog: config.subscribe(),
            config,
            fleet: FleetView::default(),
            groups: GroupStatuses::default(),
            vm_list,
            liveness: LivenessMonitor::new(clock, self.settings.name.clone(), incarnation),
            sharers: LimitSharers::default(),
            poison: PoisonTracker::new(clock),
            ticket_secret: TicketSecret::rotating(secrets),
            routing: Routing::new(clock, self.settings.domain.clone()),
            memory: RequestMemory::new(self.settings.memory_mb, clock, self.log.clone()),
            channels,
            endpoints: EndpointSelector::new(endpoint_config),
            running_requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            next_request_number: AtomicU64::new(rand::random()),
        };
        Ok(Arc::new(state))
    }

    async fn serve(&self, state: &Arc<EntryState>) -> eyre::Result<RunningEntry> {
        let channel = channel_config(&self.settings)?;
        let peer_server = WireServer::bind(
            self.settings.peer_address,
            WireServerConfig::new(channel.identity, channel.secrets),
            Arc::new(PeerHandler::new(Arc::clone(state))),
        )
        .await?;
        let http_log = self.log.new(slog::o!("part" => "http"));
        let http_server = api::bind(self.settings.address, Arc::clone(state), &http_log)?;
        let bound = (http_server.local_addr(), peer_server.addr());
        *self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(bound);
        Ok(RunningEntry {
            state: Arc::clone(state),
            http_server,
            peer_server,
            _watchers: Watchers::spawn(state),
        })
    }
}

#[async_trait]
impl Service for EntryService {
    fn name(&self) -> &'static str {
        ENTRY_SERVICE
    }

    fn dependencies(&self) -> &'static [&'static str] {
        &[PLATFORM]
    }

    async fn start(&self, registry: &Registry) -> Result<(), KernelError> {
        let state = self.new_state(registry)?;
        let running = self.serve(&state).await.map_err(|e| KernelError::Start {
            name: ENTRY_SERVICE.into(),
            message: e.to_string(),
        })?;
        let (address, peer_address) =
            (running.http_server.local_addr(), running.peer_server.addr());
        info!(self.log, "entry started"; "step" => "start",
            "address" => %address, "peer_address" => %peer_address);
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
        registry.insert(ENTRY_STATE_KEY, state)
    }

    async fn stop(&self) {
        let running = self
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(running) = running {
            let ttl = Duration::from_millis(u64::from(self.settings.endpoint_ttl_ms));
            running.drain(ttl, &self.log).await;
        }
    }
}

impl RunningEntry {
    async fn drain(self, endpoint_ttl: Duration, log: &Logger) {
        info!(log, "entry leaving"; "step" => "drain");
        self.state.draining.store(true, Ordering::Relaxed);
        self.state.liveness.announce_leaving();
        // Callers may use a cached endpoint answer for a while after its TTL.
        sleep(endpoint_ttl + endpoint_ttl / 2).await;
        self.state.refusing.store(true, Ordering::Relaxed);
        while self.state.running_requests.load(Ordering::Relaxed) > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        // Only idle connections are left; an error while closing them affects no request.
        let _ = self.http_server.close().await;
        self.peer_server.shutdown().await;
        info!(log, "entry stopped"; "step" => "end");
    }
}
