//! Decides how long a daemon pauses between its watches of a prefix, and between its retries after
//! failed calls.
//!
//! In a small fleet every daemon sends its watch again after a short pause. In a larger one only the
//! *relays* do: the first live daemons by name in each failure domain. The other daemons wait longer
//! on prefixes that change continuously, and pull the changes from their peers meanwhile. The order
//! by name needs no messages between daemons, and a wrong view of the fleet costs only a few calls.

use std::time::Duration;

use oriole_store::backoff::Backoff;
use rand::{Rng, RngExt as _};

/// Largest fleet in which every daemon watches at the short interval. Its calls stay well below half
/// of the store's read rate.
pub const MAX_SMALL_FLEET: usize = 32;

/// Relays in each failure domain: one more than needed, so that the loss of one goes unnoticed.
const RELAYS_PER_DOMAIN: usize = 2;

/// Pause after a watch returned changes, so that changes in quick succession cost one call. Short
/// compared with the agreed time for changes to take effect.
pub const CHANGE_BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Shortest pause of a waiting daemon after a watch of a busy prefix. Together with the spread it
/// stays below the agreed two seconds, in case no peer delivers the change.
pub const WAITING_PAUSE: Duration = Duration::from_millis(1400);

/// Random addition to [`WAITING_PAUSE`], so that the waiting daemons do not call together.
pub const WAITING_PAUSE_SPREAD: Duration = Duration::from_millis(350);

/// Batches of changes within [`BUSY_WINDOW`] from which a prefix counts as busy. The configuration
/// and evacuations change less often.
const BUSY_BATCHES: usize = 3;

/// Window in which batches are counted, and time for which a watch must stay open without changes
/// before a prefix is no longer busy. Neither long pauses nor a failure of the store end the busy
/// state: the short pauses after a failure would come from all daemons at the same time.
const BUSY_WINDOW: Duration = Duration::from_secs(3);

/// Pauses after failed calls. The longest is short compared with the agreed time for changes to
/// take effect.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// Longest pause of a waiting daemon after a failed call; the shortest is three quarters of it.
/// Relays find the store again earlier, and their confirmations reach the waiting daemons through
/// peers.
const WAITING_RETRY_PAUSE: Duration = Duration::from_millis(1600);

/// Age up to which the confirmation of a peer suspends retries: the agreed time for changes to take
/// effect.
const FRESH_CONFIRMATION: Duration = Duration::from_secs(2);

/// Shortest time after which a suspended daemon retries anyway. Peers confirm the prefix all the
/// time while the store works, so without a limit one failed call would end the watch for good.
/// Meanwhile pulls and the confirming reads, which are not suspended, keep the view fresh.
const MAX_SUSPENSION: Duration = Duration::from_secs(6);

/// Random addition to [`MAX_SUSPENSION`], which spreads the listings of a fleet after an outage.
const SUSPENSION_SPREAD: Duration = Duration::from_secs(2);

/// This daemon's position among the live daemons, according to its own membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPosition {
    /// Number of live daemons, including this one.
    pub daemons: usize,
    /// Number of those in this daemon's failure domain.
    pub domain_daemons: usize,
    /// Position by name in the failure domain, from zero.
    pub ordinal: usize,
}

impl RelayPosition {
    fn role(self) -> (WatchRole, &'static str) {
        if self.daemons <= MAX_SMALL_FLEET {
            (WatchRole::Relay, "small fleet")
        } else if self.domain_daemons <= 1 {
            (WatchRole::Relay, "no peer in the failure domain")
        } else if self.ordinal < RELAYS_PER_DOMAIN {
            (WatchRole::Relay, "first by name in the failure domain")
        } else {
            (WatchRole::Waiting, "relays precede it by name")
        }
    }
}

/// How a daemon watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// At the short interval. In a small fleet every daemon has this role.
    Relay,
    /// At the long interval on busy prefixes; peers deliver the changes.
    Waiting,
}

impl WatchRole {
    /// Name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Waiting => "waiting",
        }
    }
}

/// A change of the role, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// New role.
    pub role: WatchRole,
    /// Position that it follows from.
    pub position: RelayPosition,
    /// Why the position leads to the role.
    pub reason: &'static str,
}

/// What to do next after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAction {
    /// Call the store again.
    Call,
    /// Ask again at this time.
    WaitUntil(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Duration,
    pause: Duration,
    /// End of any suspension; `None` if the retry is not suspended.
    suspended_at_most_until: Option<Duration>,
}

#[derive(Clone, Debug, Default)]
struct PrefixWatch {
    /// Times of the batches of changes within the window.
    batches: Vec<Duration>,
    is_busy: bool,
    /// Time at which the latest watch was sent, or the first of several without changes.
    sent_at: Option<Duration>,
    /// Whether the latest watch ended without changes, at the end of its waiting time.
    has_ended_empty: bool,
    /// While the watch is closed on purpose: the revision up to which the own calls were complete.
    closed_since: Option<u64>,
    /// Latest time as of which a peer of the failure domain reported a confirmation.
    peer_confirmed_at: Option<Duration>,
    /// Time at which the retry of a failed confirming read is due; `None` if it did not fail.
    confirm_retry_at: Option<Duration>,
    retry: Option<Retry>,
}

impl PrefixWatch {
    fn record_batch(&mut self, now: Duration) {
        self.batches.retain(|at| now < *at + BUSY_WINDOW);
        let is_quiet = self.sent_at.is_some_and(|at| now >= at + BUSY_WINDOW);
        self.is_busy &= !is_quiet;
        self.batches.push(now);
        self.is_busy |= self.batches.len() >= BUSY_BATCHES;
    }
}

/// Role of a daemon and state of its watches.
#[derive(Clone, Debug)]
pub struct WatchRelay {
    role: WatchRole,
    prefixes: Vec<PrefixWatch>,
}

impl WatchRelay {
    /// State of a daemon that watches `prefixes` prefixes and knows no peer.
    #[must_use]
    pub fn new(prefixes: usize) -> Self {
        Self {
            role: WatchRole::Relay,
            prefixes: vec![PrefixWatch::default(); prefixes],
        }
    }

    /// The current role.
    #[must_use]
    pub fn role(&self) -> WatchRole {
        self.role
    }

    /// Records the daemon's position; returns the role if it changed.
    pub fn on_position(&mut self, now: Duration, position: RelayPosition) -> Option<RoleChange> {
        let (role, reason) = position.role();
        let is_change = std::mem::replace(&mut self.role, role) != role;
        if is_change && role == WatchRole::Relay {
            // A relay neither waits nor relies on its peers.
            for prefix in &mut self.prefixes {
                prefix.closed_since = None;
                if let Some(retry) = &mut prefix.retry {
                    retry.at = retry.at.min(now + retry.pause.min(BACKOFF.max));
                }
            }
        }
        is_change.then_some(RoleChange {
            role,
            position,
            reason,
        })
    }

    /// Records that a watch returned changes and that the daemon's own calls are complete up to a
    /// revision. Returns the pause before the next watch.
    pub fn on_changes(
        &mut self,
        now: Duration,
        prefix: usize,
        complete_revision: u64,
        rng: &mut impl Rng,
    ) -> Duration {
        let prefix = &mut self.prefixes[prefix];
        prefix.record_batch(now);
        if self.role == WatchRole::Relay || !prefix.is_busy {
            return CHANGE_BATCH_PAUSE;
        }
        prefix.closed_since = Some(complete_revision);
        WAITING_PAUSE + WAITING_PAUSE_SPREAD.mul_f64(rng.random())
    }

    /// Records that a watch was sent.
    pub fn on_watch_sent(&mut self, now: Duration, prefix: usize) {
        let prefix = &mut self.prefixes[prefix];
        if !std::mem::take(&mut prefix.has_ended_empty) {
            prefix.sent_at = Some(now);
        }
        prefix.closed_since = None;
        prefix.retry = None;
    }

    /// Records that a watch returned no changes. The next one continues it: a waiting time shorter
    /// than the busy window must not keep a quiet prefix busy.
    pub fn on_no_changes(&mut self, prefix: usize) {
        self.prefixes[prefix].has_ended_empty = true;
    }

    /// Records that the watcher's call failed. `complete_revision` is the revision up to which the
    /// daemon's own calls were complete; a daemon without any must not rely on its peers.
    pub fn on_call_failed(
        &mut self,
        now: Duration,
        prefix: usize,
        failed_calls: u32,
        complete_revision: Option<u64>,
        rng: &mut impl Rng,
    ) {
        let pause = self.retry_pause(failed_calls, rng);
        let prefix = &mut self.prefixes[prefix];
        let may_suspend = self.role == WatchRole::Waiting && complete_revision.is_some();
        if may_suspend {
            prefix.closed_since = complete_revision;
        }
        prefix.retry = Some(Retry {
            at: now + pause,
            pause,
            suspended_at_most_until: may_suspend
                .then(|| now + MAX_SUSPENSION + SUSPENSION_SPREAD.mul_f64(rng.random())),
        });
    }

    /// The pause after failed calls, as the daemon's role requires it.
    pub fn retry_pause(&self, failed_calls: u32, rng: &mut impl Rng) -> Duration {
        match self.role {
            WatchRole::Relay => BACKOFF.pause(failed_calls, rng),
            WatchRole::Waiting => WAITING_RETRY_PAUSE.mul_f64(rng.random_range(0.75..=1.0)),
        }
    }

    /// Whether the watcher calls the store again after a failure.
    pub fn next_retry(&mut self, now: Duration, prefix: usize) -> RetryAction {
        let role = self.role;
        let prefix = &mut self.prefixes[prefix];
        let Some(retry) = &mut prefix.retry else {
            return RetryAction::Call;
        };
        if role == WatchRole::Waiting
            && let Some(latest) = retry.suspended_at_most_until
        {
            let confirmed_at = prefix.peer_confirmed_at;
            let stale_at = confirmed_at.map(|at| at + FRESH_CONFIRMATION);
            // The confirming read of the same prefix already tries whether the store is back.
            let until = stale_at.max(prefix.confirm_retry_at);
            let until = until.unwrap_or_default().min(latest);
            if now < until {
                // The daemons of a failure domain know the same confirmation. The pause after it
                // keeps them from calling together.
                retry.at = retry.at.max(until + retry.pause);
                return RetryAction::WaitUntil(until);
            }
        }
        if now < retry.at {
            RetryAction::WaitUntil(retry.at)
        } else {
            RetryAction::Call
        }
    }

    /// Records the outcome of a confirming read; after a failure, the time at which the next one is
    /// due.
    pub fn on_confirm(&mut self, prefix: usize, retry_at: Option<Duration>) {
        self.prefixes[prefix].confirm_retry_at = retry_at;
    }

    /// Records a confirmation that a peer of the daemon's failure domain reported.
    pub fn on_peer_confirmation(&mut self, prefix: usize, as_of: Duration) {
        if let Some(prefix) = self.prefixes.get_mut(prefix) {
            prefix.peer_confirmed_at = prefix.peer_confirmed_at.max(Some(as_of));
        }
    }

    /// For each prefix whose watch is closed on purpose, the revision up to which the daemon's own
    /// calls were complete.
    pub fn closed_since(&self) -> impl Iterator<Item = Option<u64>> {
        self.prefixes.iter().map(|prefix| prefix.closed_since)
    }
}
