//! State shared by the daemon's tasks.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oriole_admission::poison::PartScreen;
use oriole_fleet::prelude::*;
use oriole_kernel::clock::Clock;
use tokio::sync::{Notify, watch};

use crate::decision_log::{DecisionLog, LogEvent};
use crate::departure::Departure;
use crate::fleet_view::{FleetChange, FleetView};
use crate::forward::buffers::ResponseBuffers;
use crate::freshness::{Confirmation, ConfirmationId, FreshnessTracker, Place};
use crate::mesh::members::Members;
use crate::mesh::message::Readiness;
use crate::settings::GatewaySettings;
use crate::streams::Streams;
use crate::traffic::{DaemonShare, Traffic};
use crate::upstream::ConnectionPool;

/// Daemons assumed to exist in addition to the known ones when shares are computed, because new
/// daemons may have started that this one does not know yet.
const SPARE_DAEMONS: usize = 2;

/// Time after the start for which requests wait for the first listings instead of being refused.
/// The listings take a few calls of some milliseconds each, and after a restart of all daemons the
/// callers return immediately.
const STARTUP_WAIT: Duration = Duration::from_millis(250);

/// State shared by all tasks of one daemon.
pub struct Gateway {
    /// Settings of the daemon.
    pub cfg: GatewaySettings,
    /// Header names and formats on the wire.
    pub dialect: Arc<dyn Dialect>,
    /// Clock that starts with the daemon.
    pub clock: Clock,
    /// Log of decisions.
    pub log: DecisionLog,
    /// Random number of this run of the process.
    pub incarnation: u64,
    /// Idle connections to upstreams.
    pub pool: ConnectionPool,
    /// Memory of buffered responses.
    pub response_buffers: ResponseBuffers,
    /// Triggers a heartbeat at once, for example when readiness changes.
    pub mesh_wake: Notify,
    /// Notifies the tasks that keep the fleet view fresh, by watched prefix.
    pub freshness_wake: Vec<Notify>,
    /// Number of open connections from callers.
    pub open_connections: AtomicUsize,
    /// Number of requests whose response is not complete.
    pub active_requests: AtomicUsize,
    /// Number of requests that wait for a group of their service to run again.
    pub waiting_requests: AtomicUsize,
    fleet_view: Mutex<FleetView>,
    freshness: Mutex<FreshnessTracker>,
    /// Number of listings applied.
    listings: AtomicU64,
    members: Mutex<Members>,
    traffic: Mutex<Traffic>,
    part_screen: Mutex<PartScreen>,
    streams: Streams,
    departure: Mutex<Option<Departure>>,
    ready: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gateway {
    /// State of a daemon that has no information on the fleet yet.
    #[must_use]
    pub fn new(cfg: GatewaySettings, dialect: Arc<dyn Dialect>, log: slog::Logger) -> Self {
        let clock = Clock::start();
        let mut members = Members::new(&cfg.name);
        for seed in &cfg.peers.seeds {
            let address = (seed.ip(), cfg.peers.listen.port()).into();
            members.add_contact(clock.now(), address);
        }
        let prefixes = dialect.watched_prefixes().len();
        Self {
            freshness: Mutex::new(FreshnessTracker::new(prefixes)),
            listings: AtomicU64::new(0),
            freshness_wake: (0..prefixes).map(|_| Notify::new()).collect(),
            fleet_view: Mutex::new(FleetView::new(dialect.clone(), cfg.lapse_grace())),
            members: Mutex::new(members),
            traffic: Mutex::new(Traffic::new(cfg.traffic_bounds())),
            part_screen: Mutex::default(),
            streams: Streams::default(),
            pool: ConnectionPool::default(),
            response_buffers: ResponseBuffers::default(),
            log: DecisionLog::new(log, clock),
            incarnation: rand::random(),
            mesh_wake: Notify::new(),
            open_connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
            waiting_requests: AtomicUsize::new(0),
            departure: Mutex::new(None),
            ready: watch::Sender::new(false),
            dialect,
            clock,
            cfg,
        }
    }

    /// The cached view of the fleet.
    pub fn fleet_view(&self) -> MutexGuard<'_, FleetView> {
        lock(&self.fleet_view)
    }

    /// How recently the store confirmed the cached view.
    pub fn freshness(&self) -> MutexGuard<'_, FreshnessTracker> {
        lock(&self.freshness)
    }

    /// Time since the configuration in force was known to be the newest; `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        let key = self.dialect.configuration_key();
        let prefix = self.fleet_view().prefix_index(key)?;
        let confirmed_at = self.freshness().confirmed_at(prefix)?;
        Some(self.clock.now().saturating_sub(confirmed_at))
    }

    /// The other entry daemons.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Loads and retry budgets.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        lock(&self.traffic)
    }

    /// Prompt parts that are suspected of crashing upstreams.
    pub fn part_screen(&self) -> MutexGuard<'_, PartScreen> {
        lock(&self.part_screen)
    }

    /// Pace and admission of the streams of ordered services.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Whether callers may use this daemon.
    pub fn readiness(&self) -> Readiness {
        if self.departure().is_some() {
            Readiness::Leaving
        } else if self.fleet_view().is_complete() {
            Readiness::Ready
        } else {
            Readiness::Starting
        }
    }

    /// The shutdown in progress; `None` while the process runs normally.
    pub fn departure(&self) -> Option<Departure> {
        *lock(&self.departure)
    }

    /// Marks the daemon as leaving and informs its peers.
    pub fn start_leaving(&self) -> Departure {
        let departure = Departure::new(self.clock.now(), self.cfg.grace());
        *lock(&self.departure) = Some(departure);
        self.mesh_wake.notify_one();
        departure
    }

    /// Waits until the daemon is ready, but at most for a short time after its start.
    pub async fn wait_until_started(&self) {
        let remaining = STARTUP_WAIT.saturating_sub(self.clock.now());
        let mut ready = self.ready.subscribe();
        // After a timeout the request is refused as not ready.
        let _ = tokio::time::timeout(remaining, ready.wait_for(|r| *r)).await;
    }

    /// This daemon's share of the bounds that hold over all daemons.
    pub fn share(&self) -> DaemonShare {
        let (known, ordinal) = self.members().sender_position(self.clock.now());
        DaemonShare {
            daemons: known + SPARE_DAEMONS,
            ordinal,
        }
    }

    /// This daemon's place among all daemons.
    pub fn place(&self) -> Place {
        let (daemons, ordinal) = self.members().sender_position(self.clock.now());
        Place { ordinal, daemons }
    }

    /// Applies a change to the fleet view and logs the effects.
    pub fn apply(&self, change: Change, source: &str) {
        let now = self.clock.now();
        let (changes, version) = {
            let mut view = self.fleet_view();
            (view.apply(now, change), view.max_revision())
        };
        self.log_changes(&changes, source, version);
    }

    /// Records that another instance answered at an upstream's address.
    pub fn refute_upstream(&self, instance: &str) {
        let now = self.clock.now();
        let (changes, version) = {
            let mut view = self.fleet_view();
            (view.refute(now, instance), view.max_revision())
        };
        self.log_changes(&changes, "upstream", version);
    }

    /// Applies changes from a peer. Those that are news should have been reported by the watch.
    pub fn apply_from_peer(&self, changes: Vec<Change>) {
        let before = self.fleet_view().digests().clone();
        for change in changes {
            self.apply(change, "peer");
        }
        let after = self.fleet_view().digests().clone();
        for prefix in 0..after.0.len() {
            if before.0[prefix] != after.0[prefix] {
                self.on_missed_change(prefix);
            }
        }
    }

    /// Applies a complete listing of a prefix, sent at `sent_at`, to the fleet view and logs the
    /// effects.
    pub fn apply_listing(&self, listing: Listing) {
        let now = self.clock.now();
        let prefix = listing.prefix;
        let name = self.dialect.watched_prefixes()[prefix];
        let (changes, version, is_news) = {
            let mut view = self.fleet_view();
            let before = view.digests().0[prefix];
            let changes = view.apply_listing(now, name, listing.items, listing.store_revision);
            (
                changes,
                view.max_revision(),
                view.digests().0[prefix] != before,
            )
        };
        self.log_changes(&changes, "store", version);
        if is_news {
            self.on_missed_change(prefix);
        }
        let id = ConfirmationId {
            incarnation: self.incarnation,
            number: self.listings.fetch_add(1, Ordering::Relaxed),
        };
        let as_of = listing.sent_at;
        self.confirm(prefix, Confirmation { id, as_of });
    }

    /// Records a confirmation of the cached items of a prefix.
    pub fn confirm(&self, prefix: usize, confirmation: Confirmation) {
        let now = self.clock.now();
        let age = self.freshness().on_confirmed(now, prefix, confirmation);
        if let Some(age) = age {
            let name = self.dialect.watched_prefixes()[prefix];
            metrics::histogram!("oriole_belief_age_seconds", "prefix" => name)
                .record(age.as_secs_f64());
        }
    }

    fn on_missed_change(&self, prefix: usize) {
        let (now, place) = (self.clock.now(), self.place());
        self.freshness().on_missed_change(now, prefix, place);
        self.freshness_wake[prefix].notify_one();
    }

    /// Records the outcome of a call to the store that was sent at `sent_at`.
    pub fn on_store_call(&self, sent_at: Duration, is_answered: bool) {
        let (now, place) = (self.clock.now(), self.place());
        if !is_answered {
            self.freshness().on_no_answer(sent_at);
        } else if !self.freshness().on_answer(now, place) {
            return;
        }
        self.fleet_view().record_store_trouble(now);
        for wake in &self.freshness_wake {
            wake.notify_one();
        }
    }

    fn log_changes(&self, changes: &[FleetChange], source: &str, version: u64) {
        for change in changes {
            self.log.event(&LogEvent::FleetChanged {
                change,
                source,
                version,
            });
        }
        let is_ready = self.readiness() == Readiness::Ready;
        if is_ready && !self.ready.send_replace(true) {
            self.log.event(&LogEvent::Readiness { now: "ready" });
            self.mesh_wake.notify_one();
        }
    }
}

/// A complete listing of a watched prefix.
#[derive(Debug)]
pub struct Listing {
    /// Index of the watched prefix.
    pub prefix: usize,
    /// Time at which its first call was sent.
    pub sent_at: Duration,
    /// All items under the prefix.
    pub items: Vec<Item>,
    /// Revision of the store at the time of the listing.
    pub store_revision: u64,
}

/// Increments a counter of [`Gateway`] until dropped.
pub struct CountGuard {
    gateway: Arc<Gateway>,
    counter: fn(&Gateway) -> &AtomicUsize,
}

impl CountGuard {
    /// Increments the counter.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, counter: fn(&Gateway) -> &AtomicUsize) -> Self {
        counter(gateway).fetch_add(1, Ordering::Relaxed);
        Self {
            gateway: gateway.clone(),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.gateway).fetch_sub(1, Ordering::Relaxed);
    }
}
