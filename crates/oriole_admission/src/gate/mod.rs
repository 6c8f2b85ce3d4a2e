//! The gate: what may start at the upstream, what waits, and what is refused.
//!
//! At every moment, whatever the order of events:
//!
//! - no more requests are in flight than [`crate::warmth`] allows, in total and in exposure;
//! - nothing starts while the upstream, its VM or its domain is out of service, while the
//!   configuration is unconfirmed, or while it is unknown what runs at the upstream;
//! - beside a suspect nothing runs.
//!
//! A refusal is always given before the work was sent anywhere.

mod admit;
mod evidence;
mod queue;
mod running;
mod types;

use std::time::Duration;

use oriole_types::catalog::{Pool, ServiceState};
use oriole_types::fleet::LoadReport;
use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;

pub use self::types::{
    Action, Decision, FinishKind, GateConfig, Offer, Refusal, UpstreamReport, WorkId,
};

use self::queue::Queue;
use self::running::Running;
use crate::confirmation::{Confirmation, ConfirmationTracker};
use crate::poison::{ContentStatus, CrashId, PoisonLedger};
use crate::warmth::{ColdSign, Warmth};

/// What is known of the upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    /// This agent has just started and does not know what runs there.
    Unknown,
    /// It can be reached and what runs there is known.
    Up,
    /// It was lost.
    Down,
}

/// A suspect that runs alone, or waits until it can.
#[derive(Clone, Debug)]
struct Solo {
    offer: Offer,
    since: Duration,
    running: bool,
}

/// Admission at one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    cfg: GateConfig,
    link: Link,
    /// Absent until the first configuration was applied.
    service_state: Option<ServiceState>,
    leaving: bool,
    confirmation: ConfirmationTracker,
    warmth: Warmth,
    running: Running,
    queue: Queue,
    solo: Option<Solo>,
    solo_rest_until: Duration,
    poison: PoisonLedger,
    pool: Vec<VmName>,
    crashes: u64,
    service_s: Option<f64>,
    heard_at: Duration,
    awake_since: Duration,
    paused_until: Duration,
}

impl Gate {
    /// A gate that admits nothing until it knows its service state, a confirmation of the
    /// configuration, and what runs at the upstream.
    #[must_use]
    pub fn new(cfg: GateConfig, now: Duration) -> Self {
        Self {
            link: Link::Unknown,
            service_state: None,
            leaving: false,
            confirmation: ConfirmationTracker::new(cfg.max_configuration_age),
            warmth: Warmth::new(cfg.cold_concurrency, cfg.warm_concurrency),
            running: Running::default(),
            queue: Queue::default(),
            solo: None,
            solo_rest_until: now,
            poison: PoisonLedger::default(),
            pool: Vec::new(),
            crashes: 0,
            service_s: None,
            heard_at: now,
            awake_since: now,
            paused_until: now,
            cfg,
        }
    }

    /// Decides on an offer. It is refused at once if its turn would come after its deadline.
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Decision {
        if offer.proven {
            self.poison.record_completion(&offer.content, false);
        }
        let verdict = self.judge(now, &offer);
        match verdict {
            Err(reason) => Decision::Refuse(self.refusal(reason)),
            Ok(ContentStatus::Suspect) => self.offer_suspect(now, offer),
            Ok(_) => self.offer_usual(now, offer),
        }
    }

    /// Notes that work has ended at the upstream.
    pub fn finished(&mut self, now: Duration, id: WorkId, kind: FinishKind) -> Vec<Action> {
        let Some(work) = self.running.finish(now, id) else {
            return Vec::new();
        };
        let solo = self.solo.take_if(|s| s.running && s.offer.id == id);
        if let Some(solo) = &solo {
            // Others get as long as the suspect kept them waiting, so suspects never take over.
            let held = now.saturating_sub(solo.since);
            self.solo_rest_until = now + held.min(self.cfg.suspect_cooldown);
        }
        if kind == FinishKind::Complete {
            self.poison.record_completion(&work.content, solo.is_some());
            self.completed(now, &work);
        }
        self.start_waiting(now)
    }

    /// Takes waiting work back, as when its caller left; false if it does not wait.
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        let solo = self.solo.take_if(|s| !s.running && s.offer.id == id);
        solo.is_some() || self.queue.withdraw(id)
    }

    /// Lets time pass: call it every 5 ms while anything runs or waits. A longer time between calls
    /// is taken as a pause of this process, whose observations then count for nothing.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.hears_in_time(now);
        if let Some(since) = self.running.newest_output() {
            // While this process itself paused, it could hear nothing.
            self.warmth.silence(now, since.max(self.paused_until));
        }
        self.poison.tick(now);
        let mut actions = self.expire(now);
        if let Some(reason) = self.closed(now) {
            actions.extend(self.refuse_waiting(reason));
        }
        actions.extend(self.start_waiting(now));
        actions.extend(self.shed());
        actions
    }

    /// Takes over the pool's figures and the contents that operators released.
    pub fn configure(&mut self, pool: &Pool) {
        self.cfg.kind = pool.kind;
        self.warmth
            .configure(pool.cold_concurrency, pool.warm_concurrency);
    }

    /// Names the pool's upstreams as this process sees them, for the homes of content.
    pub fn set_pool(&mut self, upstreams: &[VmName]) {
        self.pool = upstreams.to_vec();
    }

    /// Names the failure domains of the configuration.
    pub fn set_domains<'a>(
        &mut self,
        domains: impl IntoIterator<Item = &'a oriole_types::ids::DomainName>,
    ) {
        self.confirmation.set_domains(domains);
    }

    /// Says whether operators let this VM and its failure domain take work. What waits is refused
    /// when it goes out of service; what runs goes on. It comes back as if cold.
    pub fn set_service_state(&mut self, now: Duration, state: ServiceState) -> Vec<Action> {
        let was = self.service_state.replace(state);
        if was == Some(ServiceState::Drained) && state == ServiceState::InService {
            self.warmth.collapse(now, ColdSign::Return);
        }
        self.tick(now)
    }

    /// Stops admission for good: the process or its VM is leaving. Returns what to refuse.
    pub fn set_leaving(&mut self, now: Duration) -> Vec<Action> {
        self.leaving = true;
        self.tick(now)
    }

    /// Whether nothing runs and nothing waits, so that a leaving process may end.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.solo.is_none()
    }

    /// Notes that some process, or a read of the store, confirmed the configuration.
    pub fn confirm_configuration(&mut self, now: Duration, confirmation: &Confirmation) {
        self.confirmation.heard(now, confirmation);
    }

    /// Notes that the upstream is there, with so many requests in flight that this agent did not
    /// start or no longer knows. Call it after a start and after each loss.
    pub fn upstream_connected(&mut self, now: Duration, in_flight: u32) {
        self.link = Link::Up;
        self.running.found(now, in_flight);
    }

    /// Takes in the upstream's own, lagging report.
    pub fn upstream_report(&mut self, now: Duration, report: UpstreamReport) -> Vec<Action> {
        self.running.report(report.made_at, report.in_flight);
        if let Some(cold) = report.cold {
            self.warmth.report(report.made_at, cold);
        }
        self.start_waiting(now)
    }

    /// Notes that the upstream crashed: all work is lost, its content becomes suspect.
    pub fn upstream_lost(&mut self, now: Duration) -> Vec<Action> {
        self.link = Link::Down;
        self.warmth.collapse(now, ColdSign::Failure);
        let solo = self.solo.take_if(|s| s.running).is_some();
        let (lost, contents) = self.running.lose(now);
        self.crashes += 1;
        let id = CrashId {
            vm: self.cfg.vm.clone(),
            number: self.cfg.first_crash_number.wrapping_add(self.crashes),
        };
        self.poison.record_crash(now, &id, &contents, solo);
        let mut actions: Vec<_> = lost.into_iter().map(Action::Lost).collect();
        actions.extend(self.refuse_waiting(RefusalReason::UpstreamUnreachable));
        actions
    }

    /// The load as it is sent to entries.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let waiting = self.queue.len() + u32::from(self.solo.as_ref().is_some_and(|s| !s.running));
        LoadReport {
            in_flight: self.running.in_flight(),
            queued: waiting,
            limit: self.warmth.limit(),
            service_ms: (self.service_s.unwrap_or(0.0) * 1000.0) as u32,
            cold: self.warmth.is_cold(),
            leaving: self.closed(now).is_some(),
            age_ms: 0,
        }
    }

    /// The ledger of suspects and quarantine.
    #[must_use]
    pub fn poison(&self) -> &PoisonLedger {
        &self.poison
    }

    /// The ledger, to merge what others know and to set what operators released.
    pub fn poison_mut(&mut self) -> &mut PoisonLedger {
        &mut self.poison
    }

    /// Time since the store confirmed the configuration, to be told to others.
    #[must_use]
    pub fn configuration_age(&self, now: Duration) -> Option<Duration> {
        self.confirmation.age(now)
    }
}
