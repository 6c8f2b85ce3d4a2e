//! The retry budget of one service: this daemon's share of the retries allowed to all daemons
//! together.

use std::time::Duration;

/// Number of buckets, one more than the window is divided into. The window slides by whole buckets,
/// so retries are counted over slightly more time than required.
const BUCKET_COUNT: usize = 11;

/// Bounds on retries, over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window on top of `ratio`.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryBudget {
    /// An unspent budget.
    #[must_use]
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            buckets: [Bucket::default(); BUCKET_COUNT],
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Whether the share of one of `daemons` allows another retry.
    #[must_use]
    pub fn allows_retry(&self, now: Duration, daemons: usize) -> bool {
        let (requests, retries) = self.totals(now);
        let allowance = self.bounds.allowance / daemons.max(1) as f64;
        let allowed = self.bounds.ratio * f64::from(requests) + allowance;
        f64::from(retries) + 1.0 <= allowed
    }

    /// Spends one retry if the share of one of `daemons` allows it; returns whether it did.
    pub fn try_spend_retry(&mut self, now: Duration, daemons: usize) -> bool {
        let is_allowed = self.allows_retry(now, daemons);
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    fn bucket_width(&self) -> Duration {
        self.bounds.window / (BUCKET_COUNT as u32 - 1)
    }

    fn bucket_index(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.bucket_width().as_nanos().max(1)) as u64
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = self.bucket_index(now);
        let bucket = &mut self.buckets[index as usize % BUCKET_COUNT];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn totals(&self, now: Duration) -> (u32, u32) {
        let index = self.bucket_index(now);
        self.buckets
            .iter()
            .filter(|b| b.index + BUCKET_COUNT as u64 > index)
            .fold((0, 0), |(requests, retries), b| {
                (requests + b.requests, retries + b.retries)
            })
    }
}
