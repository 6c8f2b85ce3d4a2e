//! Inputs, decisions and actions of the gate.

use std::time::Duration;

use oriole_types::catalog::{PoolKind, Priority};
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;
use oriole_types::{number_type, value_type};

number_type! {
    /// Number that the daemon assigns to one piece of work, unique while the gate knows the work.
    pub struct WorkId
}

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// The upstream's VM.
    pub vm: VmName,
    /// Kind of upstream: engines give evidence of warmth with each output, services with each answer.
    pub kind: PoolKind,
    /// Maximum number of requests in flight during cold start.
    pub cold_concurrency: u32,
    /// Maximum number of requests in flight once warm.
    pub warm_concurrency: u32,
    /// Maximum number of waiting requests.
    pub queue_capacity: u32,
    /// Age of the newest confirmation from which the configuration no longer admits work, unless a
    /// majority of failure domains can still reach this process.
    pub max_configuration_age: Duration,
    /// Maximum time for which a suspect may block other work while it waits for the upstream to
    /// become empty.
    pub suspect_max_wait: Duration,
    /// Time after a suspect gave up waiting, and maximum time after one ran, in which no other suspect
    /// may block other work.
    pub suspect_cooldown: Duration,
    /// Whether content that never completed is refused at upstreams that are not its homes.
    pub enforces_homes: bool,
    /// Number from which crashes are counted; random per run of the process, so that crashes of two
    /// runs have different ids.
    pub first_crash_number: u64,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self {
            vm: VmName::new("upstream"),
            kind: PoolKind::Engine,
            cold_concurrency: 2,
            warm_concurrency: 16,
            queue_capacity: 64,
            max_configuration_age: Duration::from_millis(1500),
            suspect_max_wait: Duration::from_secs(2),
            suspect_cooldown: Duration::from_secs(1),
            enforces_homes: false,
            first_crash_number: 0,
        }
    }
}

/// A request to run work at the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Number of the work.
    pub id: WorkId,
    /// Digest of the request's content.
    pub content: Digest,
    /// Priority class; more urgent work starts first.
    pub priority: Priority,
    /// Time after which the work is no longer started.
    pub deadline: Duration,
    /// Whether the entry knows that the content has completed before.
    pub proven: bool,
    /// Whether the work can run only at this upstream, because its request is not idempotent and its
    /// key is claimed here. Homes do not apply to such work.
    pub pinned: bool,
}

impl Offer {
    /// Creates an offer of normal priority.
    #[must_use]
    pub fn new(id: WorkId, content: Digest, deadline: Duration) -> Self {
        Self {
            id,
            content,
            priority: Priority::Normal,
            deadline,
            proven: false,
            pinned: false,
        }
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }
}

/// Refusal of work that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the work was refused.
    pub reason: RefusalReason,
    /// Time after which a retry at this upstream may succeed; `None` if it will not.
    pub retry_after: Option<Duration>,
}

/// Decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the work to the upstream now.
    Admit,
    /// Keep the work; a later [`Action`] starts or refuses it.
    Queue,
    /// Refuse the work.
    Refuse(Refusal),
}

/// What the daemon must do with work that waited or ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the work to the upstream now.
    Start(WorkId),
    /// Refuse the work; it did not run.
    Refuse(WorkId, Refusal),
    /// The work was running when the upstream was lost, so it may have taken effect.
    Lost(WorkId),
}

value_type! {
    /// How work ended at the upstream. The loss of the upstream itself is reported by
    /// [`super::Gate::upstream_lost`] instead.
    pub enum FinishKind {
        /// The whole answer arrived.
        Complete,
        /// The upstream answered with an error and keeps running.
        Failed,
        /// The upstream confirmed that it stopped the work. Sending a cancel is not enough, since the
        /// upstream may still be busy with the work.
        Cancelled,
    }
}

/// The upstream's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Lower bound of the time at which the report was made: time of the request minus the report's
    /// age.
    pub made_at: Duration,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether the upstream is in cold start; `None` if it does not say.
    pub cold: Option<bool>,
}
