//! Starts and stops all tasks of the daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr as _;
use oriole_fleet::prelude::*;
use oriole_kernel::{metrics_port, sockets};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::decision_log::LogEvent;
use crate::gateway::Gateway;
use crate::memory;
use crate::mesh::{self, MeshSockets};
use crate::observed_store::ObservedStore;
use crate::settings::GatewaySettings;
use crate::{ingress, registration, service_port, watcher};

/// Shortest time from the start of a shutdown to the exit of an idle daemon, so that callers with
/// an outdated list of endpoints can still connect.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(3);

/// Interval of the idle check during shutdown. Pooled connections are checked at ten times this
/// interval.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running entry daemon.
pub struct GatewayDaemon {
    gateway: Arc<Gateway>,
    stop: CancellationToken,
}

impl GatewayDaemon {
    /// Binds all listeners and starts the daemon's tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn bind(
        cfg: GatewaySettings,
        dialect: Arc<dyn Dialect>,
        store: Arc<dyn FleetStore>,
        log: Logger,
    ) -> eyre::Result<Self> {
        let callers = sockets::listen(cfg.listen.callers).wrap_err("listen for callers")?;
        let ready = sockets::listen(cfg.listen.ready).wrap_err("listen for ready")?;
        let endpoints = sockets::listen(cfg.listen.endpoints).wrap_err("listen for endpoints")?;
        let metrics = sockets::listen(cfg.listen.metrics).wrap_err("listen for metrics")?;
        let peers = MeshSockets::bind(cfg.peers.listen)
            .await
            .wrap_err("listen for peers")?;
        let gateway = Arc::new(Gateway::new(cfg, dialect, log));
        let stop = CancellationToken::new();
        ingress::spawn(&gateway, callers, &stop);
        service_port::spawn(&gateway, ready, "ready", &stop);
        service_port::spawn(&gateway, endpoints, "endpoints", &stop);
        metrics_port::spawn(metrics, stop.clone());
        mesh::spawn(&gateway, peers, &stop);
        let store: Arc<dyn FleetStore> = Arc::new(ObservedStore::new(&gateway, store));
        watcher::spawn(&gateway, &store, &stop);
        registration::spawn(&gateway, &store, &stop);
        spawn_pool_tick(&gateway, &stop);
        gateway.log.event(&LogEvent::Started {
            incarnation: gateway.incarnation,
        });
        gateway.log.event(&LogEvent::Memory {
            memory_mb: gateway.cfg.memory_mb,
            limits: &memory::budget_config(&gateway.cfg),
        });
        Ok(Self { gateway, stop })
    }

    /// Bytes that the daemon holds for callers and upstreams.
    #[must_use]
    pub fn memory_held(&self) -> u64 {
        self.gateway.memory.totals().0
    }

    /// Logs the outcome of a reload of the settings file.
    pub fn reloaded(&self, outcome: &str) {
        self.gateway.log.event(&LogEvent::Reloaded { outcome });
    }

    /// Shuts down: marks the daemon as leaving, waits within the grace period until callers have
    /// closed their connections, then stops all tasks.
    pub async fn shutdown(self) {
        let gateway = &self.gateway;
        let departure = gateway.start_leaving();
        let in_flight = || gateway.active_requests.load(Ordering::Relaxed);
        gateway.log.event(&LogEvent::Stopping {
            in_flight: in_flight(),
        });
        let started_at = gateway.clock.now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = gateway.clock.now();
            let is_idle = gateway.open_connections.load(Ordering::Relaxed) == 0;
            if now >= departure.exits_at() || (is_idle && now >= started_at + MIN_SHUTDOWN_TIME) {
                break;
            }
        }
        gateway.log.event(&LogEvent::Stopped {
            in_flight: in_flight(),
        });
        self.stop.cancel();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn spawn_pool_tick(gateway: &Arc<Gateway>, stop: &CancellationToken) {
    let (gateway, stop) = (gateway.clone(), stop.clone());
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(POLL_INTERVAL * 10) => {
                    gateway.pool.tick(gateway.clock.now());
                    gateway.memory.update_gauges();
                }
            }
        }
    });
}
