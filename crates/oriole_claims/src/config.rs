//! Settings and limits of a home.

use std::time::Duration;

use oriole_types::ids::{Incarnation, PoolName, VmName};

use crate::request::HomeRef;
use crate::ticket::TicketSecret;

/// Limits of a home.
#[derive(Clone, Debug)]
pub struct ClaimsLimits {
    /// Least time for which a claim is kept. Keys issued longer ago are refused.
    pub retention: Duration,
    /// How far the issue time of a key may be ahead of this process's clock.
    pub max_issue_ahead: Duration,
    /// Most commits per second of all homes of the pool together.
    pub pool_commits_per_s: f64,
    /// Longest time that a request waits for its claim to become durable.
    pub claim_timeout: Duration,
    /// How long before its deadline a request is refused if its run has not started, so that the
    /// refusal reaches the entry in time. At most a tenth of the request's timeout is used.
    pub reply_margin: Duration,
    /// Delay before the first retry of a failed store call; it doubles with each further failure.
    pub min_retry_delay: Duration,
    /// Longest delay before a retry of a failed store call.
    pub max_retry_delay: Duration,
    /// How long a home that lost a partition waits before it may acquire it again.
    pub reacquire_delay: Duration,
    /// Size of a partition's head beyond which its claims are moved into a segment.
    pub max_head_bytes: usize,
    /// Number of consecutive small segments at which they are merged into the next one written.
    pub merge_min_segments: usize,
    /// Segments of a partition that are kept even if all their claims are past the retention.
    pub min_segments: usize,
    /// Most claims written by one commit.
    pub max_claims_per_commit: usize,
    /// Number of records in memory at which new keys are refused.
    pub max_records: usize,
    /// Largest answer that is kept for later requests with the same key.
    pub max_answer_bytes: usize,
    /// Most bytes of all kept answers together; the oldest are dropped first.
    pub max_total_answer_bytes: usize,
}

impl Default for ClaimsLimits {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3600),
            max_issue_ahead: Duration::from_secs(300),
            pool_commits_per_s: 80.0,
            claim_timeout: Duration::from_secs(2),
            reply_margin: Duration::from_millis(50),
            min_retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(2),
            reacquire_delay: Duration::from_millis(500),
            max_head_bytes: 2 * 1024,
            merge_min_segments: 24,
            min_segments: 4,
            max_claims_per_commit: 4096,
            max_records: 500_000,
            max_answer_bytes: 64 * 1024,
            max_total_answer_bytes: 48 * 1024 * 1024,
        }
    }
}

/// Settings of a home, fixed when its process starts.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// Pool of the agent's upstream.
    pub pool: PoolName,
    /// VM of the agent.
    pub vm: VmName,
    /// Incarnation of the agent's process; no two processes share one.
    pub incarnation: Incarnation,
    /// Number of partitions of the pool, used only if the store has no layout of it yet.
    pub partitions: u32,
    /// Whether the home acquires its partitions before the first request. Set it for pools that
    /// serve entries which are not idempotent; without it a home makes no store call until a key
    /// needs a claim.
    pub eager: bool,
    /// Secrets of the fleet that tickets are signed with.
    pub secret: TicketSecret,
    /// Unix time at the start of the process, in milliseconds.
    pub start_unix_ms: u64,
    /// Seed of the random numbers that spread retries.
    pub seed: u64,
    /// Limits of the home.
    pub limits: ClaimsLimits,
}

impl ClaimsConfig {
    /// Settings with default limits and 16 partitions, for a process started at Unix time 0.
    #[must_use]
    pub fn new(pool: PoolName, vm: VmName, incarnation: Incarnation, secret: TicketSecret) -> Self {
        Self {
            pool,
            vm,
            incarnation,
            partitions: 16,
            eager: true,
            secret,
            start_unix_ms: 0,
            seed: incarnation.0,
            limits: ClaimsLimits::default(),
        }
    }

    /// VM and incarnation of the home.
    #[must_use]
    pub fn home(&self) -> HomeRef {
        HomeRef {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Unix time in milliseconds at `now`, the time since the start of the process.
    #[must_use]
    pub fn unix_ms(&self, now: Duration) -> u64 {
        self.start_unix_ms + millis(now)
    }
}

/// A duration in whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
