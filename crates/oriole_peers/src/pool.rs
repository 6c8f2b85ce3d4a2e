//! Pool with one channel per process, connected on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use oriole_wire::channel::{Channel, ChannelConfig};
use oriole_wire::error::WireError;
use rand::RngExt;
use tokio::time::Instant;

/// Mean pause after a failed connection attempt; the actual pause is random, between 0.5 and 1.5
/// times this value.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// Channels to other processes, by address.
///
/// Concurrent callers for the same address wait for a single connection attempt. After a failed
/// attempt, calls fail immediately during a short pause.
pub struct ChannelPool {
    cfg: ChannelConfig,
    slots: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>>,
}

#[derive(Default)]
struct Slot {
    channel: Option<Channel>,
    /// End of the pause after a failed connection attempt.
    retry_at: Option<Instant>,
}

impl ChannelPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(cfg: ChannelConfig) -> Self {
        Self {
            cfg,
            slots: Mutex::default(),
        }
    }

    /// Returns the channel to a process, and connects it if there is none or it has been closed.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established, or if this failed a short time ago.
    pub async fn get(&self, addr: SocketAddr) -> Result<Channel, WireError> {
        let slot = self.slot(addr);
        let mut slot = slot.lock().await;
        if let Some(channel) = slot.channel.as_ref().filter(|c| !c.is_closed()) {
            return Ok(channel.clone());
        }
        if slot.retry_at.is_some_and(|at| Instant::now() < at) {
            return Err(WireError::Unreachable(
                "could not be reached just now".into(),
            ));
        }
        match Channel::connect(addr, &self.cfg).await {
            Ok(channel) => {
                slot.channel = Some(channel.clone());
                slot.retry_at = None;
                Ok(channel)
            }
            Err(e) => {
                slot.channel = None;
                slot.retry_at = Some(Instant::now() + random_reconnect_pause());
                metrics::counter!("oriole_peer_connect_failed_total", "reason" => e.reason())
                    .increment(1);
                Err(e)
            }
        }
    }

    /// Removes the channel to a process from the pool. It is closed when its other clones are dropped.
    pub async fn drop_channel(&self, addr: SocketAddr) {
        self.slot(addr).lock().await.channel = None;
    }

    /// Removes the channels to all processes for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|addr, _| keep(addr));
    }

    fn slot(&self, addr: SocketAddr) -> Arc<tokio::sync::Mutex<Slot>> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(addr).or_default())
    }
}

fn random_reconnect_pause() -> Duration {
    RECONNECT_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}
