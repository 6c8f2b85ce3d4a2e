//! Settings of the distribution of the catalog.

use std::sync::Arc;
use std::time::Duration;

use oriole_types::ids::Revision;

/// Settings of the distribution. They must be the same in every process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadConfig {
    /// Number of relays in each failure domain.
    pub relays_per_domain: usize,
    /// How long a relay's watch waits. A missed wake-up delays a revision by at most this.
    pub watch_wait: Duration,
    /// How long the watch of a process waits that acts as a relay only because it cannot reach the
    /// selected ones.
    pub fallback_watch_wait: Duration,
    /// How long a poll waits at the relay.
    pub poll_wait: Duration,
    /// Minimum time between the starts of two polls.
    pub poll_interval: Duration,
    /// Time limit for a peer's answer, in addition to the wait.
    pub peer_timeout: Duration,
    /// Time limit for the store's answer, in addition to the wait. Doubles after each failure.
    pub store_timeout: Duration,
    /// Age of the last confirmation beyond which a process also queries relays of other failure
    /// domains and reads the store.
    pub unconfirmed_after: Duration,
    /// Window over which processes without a recent confirmation distribute their store reads.
    pub unconfirmed_read_window: Duration,
    /// Mean time between two direct store reads of a process that polls relays.
    pub direct_read_interval: Duration,
    /// How long a peer is skipped after a failure. Doubles with each further failure.
    pub suspect_duration: Duration,
    /// Number of peers that a starting process queries for their revision.
    pub startup_probes: usize,
    /// How long a starting process waits for their answers.
    pub probe_timeout: Duration,
    /// Maximum age of a peer's confirmation with which a starting process adopts the peer's
    /// configuration without reading the store.
    pub max_confirmed_age: Duration,
    /// Window over which starting processes distribute their first store read when no peer has a
    /// recent confirmation.
    pub startup_read_window: Duration,
    /// How long a starting process waits for the store before it adopts a peer's configuration that
    /// has no recent confirmation.
    pub startup_store_timeout: Duration,
    /// Age of the last confirmation beyond which the status is `stale`.
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
/// Production uses [`NewerRevisionOnly`]. Tests substitute a faulty rule to check that they detect
/// it.
pub trait InstallRule: Send + Sync + 'static {
    /// Returns whether to install the offered revision.
    fn should_install(&self, held: Revision, offered: Revision) -> bool;
}

/// Installs only newer revisions, so that the configuration in force never reverts.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewerRevisionOnly;

impl InstallRule for NewerRevisionOnly {
    fn should_install(&self, held: Revision, offered: Revision) -> bool {
        offered > held
    }
}

/// Settings of a [`ConfigFollower`](super::follower::ConfigFollower).
#[derive(Clone)]
pub struct FollowerConfig {
    /// Settings of the distribution.
    pub spread: SpreadConfig,
    /// Seed of the random number generator; random if `None`.
    pub seed: Option<u64>,
    /// Decides which revisions are installed.
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
