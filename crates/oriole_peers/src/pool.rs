//! One channel per process, connected on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use oriole_wire::channel::{Channel, ChannelConfig};
use oriole_wire::error::WireError;
use rand::RngExt;
use tokio::time::Instant;

/// Pause before a failed connection is tried again; the actual pause is between half and one and
/// a half of it.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// Channels to other processes by address.
///
/// Use it to reach a process without caring whether a connection exists. Concurrent callers share
/// one attempt to connect; after a failed attempt further ones fail at once for a short while.
pub struct ChannelPool {
    cfg: ChannelConfig,
    slots: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>>,
}

#[derive(Default)]
struct Slot {
    channel: Option<Channel>,
    retry_at: Option<Instant>,
}

impl ChannelPool {
    /// A pool without connections.
    #[must_use]
    pub fn new(cfg: ChannelConfig) -> Self {
        Self {
            cfg,
            slots: Mutex::default(),
        }
    }

    /// A live channel to a process.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be reached, or could not be reached a moment ago.
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
                slot.retry_at = Some(Instant::now() + reconnect_pause());
                metrics::counter!("oriole_peer_connect_failed_total", "reason" => e.reason())
                    .increment(1);
                Err(e)
            }
        }
    }

    /// Forgets the channel to a process; exchanges that run on it go on.
    pub async fn drop_channel(&self, addr: SocketAddr) {
        self.slot(addr).lock().await.channel = None;
    }

    /// Forgets all processes but some.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|addr, _| keep(addr));
    }

    fn slot(&self, addr: SocketAddr) -> Arc<tokio::sync::Mutex<Slot>> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(addr).or_default())
    }
}

fn reconnect_pause() -> Duration {
    RECONNECT_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}
