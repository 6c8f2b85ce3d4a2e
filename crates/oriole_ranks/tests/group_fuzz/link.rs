//! Simulates the link of a VM, which is slow and loses datagrams when its queue is full.

use std::time::Duration;

use oriole_fleet::bounded;

/// Bytes that wait in a link's queue at most.
const MAX_QUEUED_BYTES: f64 = 64.0 * 1024.0;

/// Bytes of IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// A link in both directions, which share its rate.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: Option<f64>,
    idle_at: Duration,
    /// Bytes that have passed.
    pub bytes: u64,
    /// Datagrams that were dropped.
    pub dropped: u64,
}

impl Link {
    pub fn new(bytes_per_s: Option<f64>) -> Self {
        Self {
            bytes_per_s,
            idle_at: Duration::ZERO,
            bytes: 0,
            dropped: 0,
        }
    }

    /// Time at which a datagram has passed the link. `None` if it is dropped.
    pub fn pass(&mut self, now: Duration, len: usize) -> Option<Duration> {
        let len = len + HEADER_BYTES;
        let Some(rate) = self.bytes_per_s else {
            self.bytes += len as u64;
            return Some(now);
        };
        let start = self.idle_at.max(now);
        let queued = (start - now).as_secs_f64() * rate;
        if queued + len as f64 > MAX_QUEUED_BYTES {
            self.dropped += 1;
            return None;
        }
        self.bytes += len as u64;
        self.idle_at = start + bounded::duration_from_secs(len as f64 / rate);
        Some(self.idle_at)
    }
}
