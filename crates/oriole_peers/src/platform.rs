//! Plugin with the store client, the channel pool, the VM list and the configuration.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use oriole_catalog::prelude::{ConfigEvent, ConfigFollower, ConfigPeer, FollowerConfig, Member};
use oriole_kernel::app::{App, Plugin, Service};
use oriole_kernel::error::KernelError;
use oriole_kernel::registry::Registry;
use oriole_store::http::{HttpStore, StoreClientConfig};
use oriole_store::store::Store;
use oriole_types::ids::{DomainName, VmName};
use oriole_wire::channel::ChannelConfig;
use slog::{Logger, info, warn};
use tokio_util::task::AbortOnDropHandle;

use crate::config_peer::FrameConfigPeer;
use crate::pool::ChannelPool;
use crate::relayed_list::RelayedVmList;
use crate::vm_list::{HttpVmList, VmListFollower};

/// Name of the service that [`PlatformPlugin`] adds.
pub const PLATFORM: &str = "platform";

/// Name of the [`StoreHandle`] in the registry.
pub const STORE: &str = "store";

/// Name of the [`ChannelPool`] in the registry.
pub const CHANNELS: &str = "channels";

/// Name of the [`VmListFollower`] in the registry.
pub const VM_LIST: &str = "vm_list";

/// Name of the [`ConfigFollower`] in the registry.
pub const CONFIG: &str = "config";

/// The store as an entry of the registry, which needs a sized type.
pub struct StoreHandle(pub Arc<dyn Store>);

/// Settings of [`PlatformPlugin`].
#[derive(Clone)]
pub struct PlatformConfig {
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the HTTP server of the VM list.
    pub vm_list: SocketAddr,
    /// Mean time between two reads of the VM list.
    pub vm_list_period: Duration,
    /// Identity of this process, and settings for connections to other processes.
    pub channel: ChannelConfig,
    /// Logger for changes of the configuration.
    pub log: Logger,
}

/// Registers the store, the channel pool, the VM list and the configuration.
///
/// Services that use them must depend on [`PLATFORM`].
pub struct PlatformPlugin(pub PlatformConfig);

impl Plugin for PlatformPlugin {
    fn name(&self) -> &'static str {
        PLATFORM
    }

    fn build(&self, app: &mut App) -> Result<(), KernelError> {
        app.add_service(Box::new(Platform {
            cfg: self.0.clone(),
            tasks: Mutex::default(),
        }));
        Ok(())
    }
}

struct Platform {
    cfg: PlatformConfig,
    /// Background tasks, aborted on stop.
    tasks: Mutex<Vec<AbortOnDropHandle<()>>>,
}

#[async_trait]
impl Service for Platform {
    fn name(&self) -> &'static str {
        PLATFORM
    }

    async fn start(&self, registry: &Registry) -> Result<(), KernelError> {
        let cfg = &self.cfg;
        let store = HttpStore::open(cfg.store, StoreClientConfig::default());
        let store: Arc<dyn Store> = Arc::new(store);
        let channels = Arc::new(ChannelPool::new(cfg.channel.clone()));
        let platform = Arc::new(HttpVmList::open(cfg.vm_list));
        let source = Arc::new(RelayedVmList::new(
            VmName::new(&cfg.channel.identity.name),
            DomainName::new(&cfg.channel.identity.domain),
            platform,
            Arc::clone(&channels),
        ));
        let vm_list = Arc::new(VmListFollower::spawn(source, cfg.vm_list_period));
        let peer = Arc::new(FrameConfigPeer::new(Arc::clone(&channels)));
        let local_member = Member {
            name: VmName::new(&cfg.channel.identity.name),
            domain: DomainName::new(&cfg.channel.identity.domain),
        };
        let config_peer: Arc<dyn ConfigPeer> = peer.clone();
        let follower = ConfigFollower::spawn(
            FollowerConfig::default(),
            local_member,
            Arc::clone(&store),
            config_peer,
        );
        let config = Arc::new(follower);
        let member_updates = update_members(Arc::clone(&vm_list), peer, Arc::clone(&config));
        let event_log = log_config_events(Arc::clone(&config), cfg.log.clone());
        let tasks = [tokio::spawn(member_updates), tokio::spawn(event_log)];
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(tasks.map(AbortOnDropHandle::new));
        registry.insert(STORE, Arc::new(StoreHandle(store)))?;
        registry.insert(CHANNELS, channels)?;
        registry.insert(VM_LIST, vm_list)?;
        registry.insert(CONFIG, config)
    }

    async fn stop(&self) {
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

/// Passes the members of the fleet to the configuration follower whenever the VM list changes.
async fn update_members(
    vm_list: Arc<VmListFollower>,
    peer: Arc<FrameConfigPeer>,
    config: Arc<ConfigFollower>,
) {
    let mut list = vm_list.subscribe();
    loop {
        let current = list.borrow_and_update().clone();
        config.set_members(peer.update_addresses(&current));
        if list.changed().await.is_err() {
            return;
        }
    }
}

/// Logs changes of the configuration and failures to update it.
async fn log_config_events(config: Arc<ConfigFollower>, log: Logger) {
    let mut events = config.events();
    loop {
        match events.recv().await {
            Ok(ConfigEvent::Installed { revision, .. }) => {
                info!(log, "configuration installed"; "step" => "config", "revision" => revision.0);
            }
            Ok(event) => warn!(log, "configuration"; "step" => "config", "event" => ?event),
            Err(tokio::sync::broadcast::error::RecvError::Lagged(_)) => {}
            Err(tokio::sync::broadcast::error::RecvError::Closed) => return,
        }
    }
}
