//! The retry budget of one service: this daemon's share of what all daemons may spend together.

use std::time::Duration;

/// Buckets that a window is cut into. The window slides by one bucket, so the share is kept over a
/// slightly longer time than asked.
const BUCKETS: usize = 11;

/// Bounds on retries, over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside these in a window.
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
pub struct RetryShare {
    bounds: BudgetBounds,
    buckets: [Bucket; BUCKETS],
}

impl RetryShare {
    /// A share with nothing spent.
    #[must_use]
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            buckets: [Bucket::default(); BUCKETS],
        }
    }

    /// Notes a caller's request.
    pub fn request(&mut self, now: Duration) {
        self.bucket(now).requests += 1;
    }

    /// Whether a retry may be made by one of `daemons`; it is paid for at once.
    pub fn try_retry(&mut self, now: Duration, daemons: usize) -> bool {
        let (requests, retries) = self.totals(now);
        let allowance = self.bounds.allowance / daemons.max(1) as f64;
        let allowed = self.bounds.ratio * f64::from(requests) + allowance;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn width(&self) -> Duration {
        self.bounds.window / (BUCKETS as u32 - 1)
    }

    fn index(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.width().as_nanos().max(1)) as u64
    }

    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = self.index(now);
        let bucket = &mut self.buckets[index as usize % BUCKETS];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn totals(&self, now: Duration) -> (u32, u32) {
        let index = self.index(now);
        self.buckets
            .iter()
            .filter(|b| b.index + BUCKETS as u64 > index)
            .fold((0, 0), |(requests, retries), b| {
                (requests + b.requests, retries + b.retries)
            })
    }
}
