//! Events and actions of the gate.

use std::time::Duration;

use oriole_types::catalog::{PoolKind, Priority};
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;
use oriole_types::{number_type, value_type};

number_type! {
    /// Number the daemon gives to one piece of work, unique while the gate knows it.
    pub struct WorkId
}

/// What a gate holds to.
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// The upstream's VM.
    pub vm: VmName,
    /// Kind of upstream: engines give evidence with each output, services with each answer.
    pub kind: PoolKind,
    /// Most requests in flight in cold start.
    pub cold_concurrency: u32,
    /// Most requests in flight once warm.
    pub warm_concurrency: u32,
    /// Most requests that wait.
    pub queue_capacity: u32,
    /// Age at which an unconfirmed configuration is no longer acted on.
    pub max_configuration_age: Duration,
    /// Longest time for which a suspect holds others back until the upstream is empty.
    pub suspect_max_wait: Duration,
    /// Rest after a suspect gave up, before another may hold others back.
    pub suspect_cooldown: Duration,
    /// Whether content that never completed is refused away from its homes.
    pub enforces_homes: bool,
    /// Number from which crashes are counted; random per run of the process, so that the crashes
    /// of two runs have different names.
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

/// One request that asks to run at the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Number of the work.
    pub id: WorkId,
    /// Digest of what is to run.
    pub content: Digest,
    /// Urgency.
    pub priority: Priority,
    /// Time by which the answer is wanted.
    pub deadline: Duration,
    /// Whether the entry knows that the content has completed before.
    pub proven: bool,
    /// Whether the work can run nowhere else, as the key of a request that is not idempotent binds
    /// it; homes do not apply to it.
    pub pinned: bool,
}

impl Offer {
    /// An offer of normal priority.
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

    /// The offer with another priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }
}

/// A refusal: the work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking this upstream again may help; absent if it will not.
    pub retry_after: Option<Duration>,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the upstream now.
    Admit,
    /// Keep it; an action will start or refuse it.
    Queue,
    /// Refuse it.
    Refuse(Refusal),
}

/// What the daemon has to do about work that waited or ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the upstream now.
    Start(WorkId),
    /// Refuse it; it did not run.
    Refuse(WorkId, Refusal),
    /// It was running when the upstream was lost; it may have run.
    Lost(WorkId),
}

value_type! {
    /// How work ended at the upstream. A lost upstream is [`super::Gate::upstream_lost`] instead.
    pub enum FinishKind {
        /// The whole answer came.
        Complete,
        /// The upstream answered with an error and goes on.
        Failed,
        /// The upstream confirmed that it stopped the work. A cancel that is merely sent does not
        /// end work: the upstream may still be busy with it.
        Cancelled,
    }
}

/// The upstream's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Time at which it was made, at the latest known bound from below: time of asking less age.
    pub made_at: Duration,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether it is in cold start; absent if it does not say.
    pub cold: Option<bool>,
}
