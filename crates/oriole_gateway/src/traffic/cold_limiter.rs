//! This daemon's share of what a cold upstream bears from all daemons together.
//!
//! The share holds without any word from the others: it is the whole bound over the most daemons
//! that there may be.

use std::collections::VecDeque;
use std::time::Duration;

/// Window in which requests to a cold upstream are counted, with room for requests that wait on
/// their way and arrive together.
const RATE_WINDOW: Duration = Duration::from_millis(1200);

/// Bounds on requests to a cold upstream, over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct ColdBounds {
    /// Factor on the rate that the service declares.
    pub overage: f64,
    /// Requests beside these in a second.
    pub allowance: f64,
}

/// Requests sent to one cold upstream of late.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    sent_at: VecDeque<Duration>,
}

impl ColdLimiter {
    /// Whether another request may be sent by one of `daemons`, of which `ordinal` is the place of
    /// this one; a bound below one request a daemon goes to the first ones.
    pub fn allows(
        &mut self,
        now: Duration,
        bounds: &ColdBounds,
        per_s: f64,
        daemons: usize,
        ordinal: usize,
    ) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + RATE_WINDOW <= now)
        {
            self.sent_at.pop_front();
        }
        let fleet_limit = (per_s * bounds.overage + bounds.allowance).floor().max(0.0) as usize;
        let daemons = daemons.max(1);
        let mut share = fleet_limit / daemons;
        if ordinal < fleet_limit % daemons {
            share += 1;
        }
        self.sent_at.len() < share
    }

    /// Notes a request that was sent.
    pub fn record_sent(&mut self, now: Duration) {
        self.sent_at.push_back(now);
    }
}
