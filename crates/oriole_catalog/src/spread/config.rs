//! Settings of the spread.

use std::sync::Arc;
use std::time::Duration;

use oriole_types::ids::Revision;

/// Settings of the spread; the same in every process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadConfig {
    /// Relays in a failure domain.
    pub relays_per_domain: usize,
    /// Wait of a relay's watch. A lost wake-up costs at most this.
    pub watch_wait: Duration,
    /// Wait of the watch of a process that stands in for relays it cannot reach.
    pub stand_in_wait: Duration,
    /// Wait of a poll at a relay.
    pub poll_wait: Duration,
    /// Shortest time between two polls.
    pub poll_interval: Duration,
    /// Longest time for a peer's answer beyond the wait.
    pub peer_timeout: Duration,
    /// Longest time for the store's answer beyond the wait; doubled after each failure.
    pub store_timeout: Duration,
    /// Age of the last confirmation beyond which a process asks more widely.
    pub wide_after: Duration,
    /// Reads of a process that asks more widely are spread over this.
    pub wide_spread: Duration,
    /// Mean time between two direct reads of a process that hears from relays.
    pub backstop_interval: Duration,
    /// Time for which a peer that failed is left out; doubled with each failure.
    pub suspect_time: Duration,
    /// Peers that a fresh process asks for their revision.
    pub start_peers: usize,
    /// Time a fresh process waits for their answers.
    pub start_timeout: Duration,
    /// Age of a confirmation that saves a fresh process a read at the store.
    pub fresh_age: Duration,
    /// First reads of fresh processes whose peers cannot confirm are spread over this.
    pub start_spread: Duration,
    /// Time a fresh process waits for the store before it takes what its peers hold.
    pub start_patience: Duration,
    /// Age of the last confirmation beyond which the status says so.
    pub stale_after: Duration,
}

impl Default for SpreadConfig {
    fn default() -> Self {
        Self {
            relays_per_domain: 2,
            watch_wait: Duration::from_secs(1),
            stand_in_wait: Duration::from_secs(5),
            poll_wait: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
            peer_timeout: Duration::from_millis(500),
            store_timeout: Duration::from_millis(700),
            wide_after: Duration::from_secs(6),
            wide_spread: Duration::from_secs(60),
            backstop_interval: Duration::from_secs(60),
            suspect_time: Duration::from_secs(5),
            start_peers: 5,
            start_timeout: Duration::from_millis(300),
            fresh_age: Duration::from_secs(4),
            start_spread: Duration::from_secs(1),
            start_patience: Duration::from_millis(1_200),
            stale_after: Duration::from_secs(30),
        }
    }
}

/// Decides whether an offered revision replaces the one held.
///
/// The only rule for service is [`OnlyGrows`]; another one shows that tests would notice.
pub trait InstallRule: Send + Sync + 'static {
    /// Whether the offered revision is installed.
    fn installs(&self, held: Revision, offered: Revision) -> bool;
}

/// The rule that a configuration in force never reverts.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnlyGrows;

impl InstallRule for OnlyGrows {
    fn installs(&self, held: Revision, offered: Revision) -> bool {
        offered > held
    }
}

/// Settings of one process's follower.
#[derive(Clone)]
pub struct FollowerConfig {
    /// Settings of the spread.
    pub spread: SpreadConfig,
    /// Seed of everything random; random if absent.
    pub seed: Option<u64>,
    /// Rule of installation.
    pub rule: Arc<dyn InstallRule>,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            spread: SpreadConfig::default(),
            seed: None,
            rule: Arc::new(OnlyGrows),
        }
    }
}
