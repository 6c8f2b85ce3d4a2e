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
    pub fallback_watch_wait: Duration,
    /// Wait of a poll at a relay.
    pub poll_wait: Duration,
    /// Shortest time between two polls.
    pub poll_interval: Duration,
    /// Longest time for a peer's answer beyond the wait.
    pub peer_timeout: Duration,
    /// Longest time for the store's answer beyond the wait; doubled after each failure.
    pub store_timeout: Duration,
    /// Age of the last confirmation beyond which a process asks more widely.
    pub unconfirmed_after: Duration,
    /// Reads of a process that asks more widely are spread over this.
    pub unconfirmed_read_window: Duration,
    /// Mean time between two direct reads of a process that hears from relays.
    pub direct_read_interval: Duration,
    /// Time for which a peer that failed is left out; doubled with each failure.
    pub suspect_duration: Duration,
    /// Peers that a fresh process asks for their revision.
    pub startup_probes: usize,
    /// Time a fresh process waits for their answers.
    pub probe_timeout: Duration,
    /// Age of a confirmation that saves a fresh process a read at the store.
    pub max_confirmed_age: Duration,
    /// First reads of fresh processes whose peers cannot confirm are spread over this.
    pub startup_read_window: Duration,
    /// Time a fresh process waits for the store before it takes what its peers hold.
    pub startup_store_timeout: Duration,
    /// Age of the last confirmation beyond which the status says so.
    pub stale_after: Duration,
}

impl Default for SpreadConfig {
    fn default() -> Self {
        Self {
            relays_per_domain: 2,
            watch_wait: Duration::from_secs(1),
            fallback_watch_wait: Duration::from_secs(5),
            poll_wait: Duration::from_secs(1),
            poll_interval: Duration::from_millis(100),
            peer_timeout: Duration::from_millis(500),
            store_timeout: Duration::from_millis(700),
            unconfirmed_after: Duration::from_secs(6),
            unconfirmed_read_window: Duration::from_secs(60),
            direct_read_interval: Duration::from_secs(60),
            suspect_duration: Duration::from_secs(5),
            startup_probes: 5,
            probe_timeout: Duration::from_millis(300),
            max_confirmed_age: Duration::from_secs(4),
            startup_read_window: Duration::from_secs(1),
            startup_store_timeout: Duration::from_millis(1_200),
            stale_after: Duration::from_secs(30),
        }
    }
}

/// Decides whether an offered revision replaces the one held.
///
/// The only rule for service is [`OnlyGrows`]; another one shows that tests would notice.
pub trait InstallRule: Send + Sync + 'static {
    /// Whether the offered revision is installed.
    fn should_install(&self, held: Revision, offered: Revision) -> bool;
}

/// The rule that a configuration in force never reverts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewerRevisionOnly;

impl InstallRule for NewerRevisionOnly {
    fn should_install(&self, held: Revision, offered: Revision) -> bool {
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
    pub install_rule: Arc<dyn InstallRule>,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            spread: SpreadConfig::default(),
            seed: None,
            install_rule: Arc::new(NewerRevisionOnly),
        }
    }
}
