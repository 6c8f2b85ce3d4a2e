//! Limits the requests that this daemon sends to a cold upstream.
//!
//! All daemons together must not send a cold upstream more than a fixed rate. Each daemon keeps to
//! its share, the whole bound divided by the highest possible number of daemons, so the bound holds
//! even when the daemons cannot reach each other.
//!
//! In a fleet with more daemons than the bound has requests, only some daemons may send to a given cold
//! upstream. Which ones differs from upstream to upstream. If the same daemons came first everywhere, the
//! others would refuse all requests while a whole service is cold, for example after a power loss.

use std::collections::VecDeque;
use std::time::Duration;

/// Window in which requests to a cold upstream are counted. It is longer than a second because
/// requests that are delayed in transit may arrive together.
const RATE_WINDOW: Duration = Duration::from_millis(1200);

/// Bounds on requests to a cold upstream, over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct ColdBounds {
    /// Factor on the cold rate that the service declares.
    pub overage: f64,
    /// Requests per second allowed on top of `overage` times the declared rate.
    pub allowance: f64,
}

/// A daemon's place in the order in which daemons share one upstream's bound.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    position: usize,
    daemons: usize,
}

impl Turn {
    /// The place of the daemon at `ordinal` among `daemons` for the upstream with this hash. Daemons that
    /// agree on their order and number have different places.
    #[must_use]
    pub fn new(ordinal: usize, daemons: usize, upstream_hash: u64) -> Self {
        let daemons = daemons.max(1);
        let offset = (upstream_hash % daemons as u64) as usize;
        Self {
            position: (ordinal + offset) % daemons,
            daemons,
        }
    }
}

/// Times of the recent requests that this daemon sent to one cold upstream.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    sent_at: VecDeque<Duration>,
}

impl ColdLimiter {
    /// Whether the daemon may send another request. A remainder that does not divide evenly goes to the
    /// first daemons by `turn`.
    pub fn allows(&mut self, now: Duration, bounds: &ColdBounds, per_s: f64, turn: Turn) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + RATE_WINDOW <= now)
        {
            self.sent_at.pop_front();
        }
        let fleet_limit = (per_s * bounds.overage + bounds.allowance).floor().max(0.0) as usize;
        let mut share = fleet_limit / turn.daemons;
        if turn.position < fleet_limit % turn.daemons {
            share += 1;
        }
        self.sent_at.len() < share
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.sent_at.push_back(now);
    }
}
