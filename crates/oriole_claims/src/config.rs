//! What a home is told at its start, and the limits it keeps.

use std::time::Duration;

use oriole_types::ids::{Incarnation, PoolName, VmName};

use crate::request::HomeRef;
use crate::ticket::TicketSecret;

/// Limits of a home. The defaults suit a pool at the size of the design.
#[derive(Clone, Debug)]
pub struct ClaimsLimits {
    /// Least time for which a claim is remembered; keys issued earlier are refused.
    pub retention: Duration,
    /// Longest time that a key may be issued ahead of this process's clock.
    pub max_issue_ahead: Duration,
    /// Writes a second that all homes of the pool together spend on commits.
    pub pool_commits_per_s: f64,
    /// Longest wait of a request for its claim to become durable.
    pub claim_timeout: Duration,
    /// Time before its deadline at which a request whose run has not started is refused, so that
    /// the refusal reaches the entry in time; a tenth of the request's timeout at most.
    pub reply_margin: Duration,
    /// Delay before the first retry of a failed store call; it doubles with each.
    pub min_retry_delay: Duration,
    /// Longest delay before a retry of a failed store call.
    pub max_retry_delay: Duration,
    /// Time for which a home that lost a partition does not take it back.
    pub reacquire_delay: Duration,
    /// Size of a partition's open part, in bytes, beyond which it becomes a segment.
    pub segment_bytes: usize,
    /// Small segments of a partition that are merged into one.
    pub merge_min_segments: usize,
    /// Segments of a partition that are kept even when all their claims are past the retention.
    pub min_segments: usize,
    /// Most claims written by one commit.
    pub max_claims_per_commit: usize,
    /// Most records kept in memory.
    pub max_records: usize,
    /// Largest answer that is kept for later callers, in bytes.
    pub max_answer_bytes: usize,
    /// Bytes of all kept answers; the oldest go first.
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
            segment_bytes: 2 * 1024,
            merge_min_segments: 24,
            min_segments: 4,
            max_claims_per_commit: 4096,
            max_records: 500_000,
            max_answer_bytes: 64 * 1024,
            max_total_answer_bytes: 48 * 1024 * 1024,
        }
    }
}

/// What a home is told at its start.
#[derive(Clone, Debug)]
pub struct ClaimsConfig {
    /// Pool of the agent's upstream.
    pub pool: PoolName,
    /// VM of the agent.
    pub vm: VmName,
    /// Incarnation of the agent's process; no two runs share one.
    pub incarnation: Incarnation,
    /// Number of partitions, used only if the store holds no layout of the pool.
    pub partitions: u32,
    /// Whether the home takes its partitions before the first request. Set it for pools that serve
    /// entries which are not idempotent; a home of any other pool then makes no store call.
    pub eager: bool,
    /// Secret of the fleet, which tickets are signed with.
    pub secret: TicketSecret,
    /// Unix time at the start of the process, in milliseconds.
    pub start_unix_ms: u64,
    /// Seed of the jitter.
    pub seed: u64,
    /// Limits.
    pub limits: ClaimsLimits,
}

impl ClaimsConfig {
    /// Configuration of an agent with default limits, starting at Unix time 0.
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

    /// The home that this configuration describes.
    #[must_use]
    pub fn home(&self) -> HomeRef {
        HomeRef {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Unix time in milliseconds at some time since the start of the process.
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
