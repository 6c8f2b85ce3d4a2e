//! Admission gate: decides which work starts at the upstream, waits or is refused.
//!
//! These invariants hold in every order of events:
//!
//! - No more requests are in flight than the limit and the exposure limit of [`crate::warmth`]
//!   allow.
//! - Nothing starts while the upstream, its VM or its failure domain is out of service, while the
//!   configuration is unconfirmed, or while it is unknown what runs at the upstream.
//! - Nothing runs at the same time as a suspect.
//!
//! Work is only refused before it is sent anywhere.

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

/// Connection state of the upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// This agent has just started and does not know what runs at the upstream.
    Unknown,
    /// The upstream can be reached, and what runs there is known.
    Up,
    /// The upstream crashed or cannot be reached.
    Down,
}

/// A suspect that runs alone, or waits until the upstream is empty.
#[derive(Clone, Debug)]
struct SoloWork {
    offer: Offer,
    /// Time of the offer; from then on nothing else starts.
    since: Duration,
    running: bool,
}

/// Admission state machine for one upstream.
#[derive(Clone, Debug)]
pub struct Gate {
    cfg: GateConfig,
    link: LinkState,
    /// `None` until the first configuration was applied.
    service_state: Option<ServiceState>,
    leaving: bool,
    confirmation: ConfirmationTracker,
    warmth: Warmth,
    running: Running,
    queue: Queue,
    solo: Option<SoloWork>,
    /// Suspects are refused until then.
    solo_cooldown_until: Duration,
    poison: PoisonLedger,
    /// VMs of the pool's upstreams; empty until they are known.
    pool: Vec<VmName>,
    /// Crashes of the upstream during this run.
    crashes: u64,
    /// Smoothed service time in seconds; `None` before the first completion.
    service_time_s: Option<f64>,
    last_call_at: Duration,
    /// End of the last gap between calls after which received outputs may be old.
    late_gap_ended_at: Duration,
    /// End of the last gap between calls that counts as a pause of this process.
    pause_ended_at: Duration,
}

impl Gate {
    /// Creates a gate that admits nothing until it has a service state, a confirmation of the
    /// configuration, and the number of requests that run at the upstream.
    #[must_use]
    pub fn new(cfg: GateConfig, now: Duration) -> Self {
        Self {
            link: LinkState::Unknown,
            service_state: None,
            leaving: false,
            confirmation: ConfirmationTracker::new(cfg.max_configuration_age),
            warmth: Warmth::new(cfg.cold_concurrency, cfg.warm_concurrency),
            running: Running::default(),
            queue: Queue::default(),
            solo: None,
            solo_cooldown_until: now,
            poison: PoisonLedger::default(),
            pool: Vec::new(),
            crashes: 0,
            service_time_s: None,
            last_call_at: now,
            late_gap_ended_at: now,
            pause_ended_at: now,
            cfg,
        }
    }

    /// Decides on an offer. It is refused at once if it could only start after its deadline.
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Decision {
        if offer.proven {
            self.poison.record_completion(&offer.content, false);
        }
        let checked = self.check_offer(now, &offer);
        match checked {
            Err(reason) => Decision::Refuse(self.refusal(reason)),
            Ok(ContentStatus::Suspect) => self.offer_suspect(now, offer),
            Ok(_) => self.offer_normal(now, offer),
        }
    }

    /// Records that work has ended at the upstream, and starts waiting work in its place.
    pub fn finished(&mut self, now: Duration, id: WorkId, kind: FinishKind) -> Vec<Action> {
        let Some(work) = self.running.finish(now, id) else {
            return Vec::new();
        };
        let solo = self.solo.take_if(|s| s.running && s.offer.id == id);
        if let Some(solo) = &solo {
            // Other work gets as much time as the suspect blocked it, so that suspects cannot
            // monopolise the upstream.
            let blocked = now.saturating_sub(solo.since);
            self.solo_cooldown_until = now + blocked.min(self.cfg.suspect_cooldown);
        }
        if kind == FinishKind::Complete {
            self.poison.record_completion(&work.content, solo.is_some());
            self.record_completion(now, &work);
        }
        self.start_waiting(now)
    }

    /// Removes waiting work, for example because its caller disconnected. Returns false if the work
    /// is not waiting.
    pub fn withdraw(&mut self, id: WorkId) -> bool {
        let solo = self.solo.take_if(|s| !s.running && s.offer.id == id);
        solo.is_some() || self.queue.withdraw(id)
    }

    /// Applies everything that depends on time: expiry, silence of the upstream, refusals and starts.
    ///
    /// Call it every 5 ms while anything runs or waits. A much longer time between calls counts as a
    /// pause of this process; what it receives right after a pause is no evidence.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.check_timeliness(now);
        if let Some(since) = self.running.newest_output() {
            // During a pause this process received nothing, so the silence starts after it.
            self.warmth
                .check_silence(now, since.max(self.pause_ended_at));
        }
        self.poison.tick(now);
        let mut actions = self.expire(now);
        if let Some(reason) = self.closed_reason(now) {
            actions.extend(self.refuse_waiting(reason));
        }
        actions.extend(self.start_waiting(now));
        actions.extend(self.shed_queue());
        actions
    }

    /// Applies the pool's kind and concurrency limits from the catalog.
    pub fn configure(&mut self, pool: &Pool) {
        self.cfg.kind = pool.kind;
        self.warmth
            .configure(pool.cold_concurrency, pool.warm_concurrency);
    }

    /// Sets the pool's upstreams as this process sees them; the homes of content depend on them.
    pub fn set_pool(&mut self, upstreams: &[VmName]) {
        self.pool = upstreams.to_vec();
    }

    /// Sets the failure domains of the configuration.
    pub fn set_domains<'a>(
        &mut self,
        domains: impl IntoIterator<Item = &'a oriole_types::ids::DomainName>,
    ) {
        self.confirmation.set_domains(domains);
    }

    /// Sets whether operators let this VM and its failure domain take work. Waiting work is refused
    /// when it goes out of service, running work continues. It returns to service as cold.
    pub fn set_service_state(&mut self, now: Duration, state: ServiceState) -> Vec<Action> {
        let previous = self.service_state.replace(state);
        if previous == Some(ServiceState::Drained) && state == ServiceState::InService {
            self.warmth.collapse(now, ColdSign::Return);
        }
        self.tick(now)
    }

    /// Stops admission for good because the process or its VM is leaving. Returns the refusals of
    /// waiting work.
    pub fn set_leaving(&mut self, now: Duration) -> Vec<Action> {
        self.leaving = true;
        self.tick(now)
    }

    /// Whether nothing runs and nothing waits, so that a leaving process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.solo.is_none()
    }

    /// Records that another process or a read of the store confirmed the configuration.
    pub fn confirm_configuration(&mut self, now: Duration, confirmation: &Confirmation) {
        self.confirmation.record(now, confirmation);
    }

    /// Records that the upstream is reachable and has `in_flight` requests, which include those that
    /// this agent did not start or no longer knows. Call it after the agent's start and after each
    /// loss of the upstream.
    pub fn upstream_connected(&mut self, now: Duration, in_flight: u32) {
        self.link = LinkState::Up;
        self.running.set_total(now, in_flight);
    }

    /// Applies the upstream's own report, which lags behind.
    pub fn upstream_report(&mut self, now: Duration, report: UpstreamReport) -> Vec<Action> {
        self.running.record_report(report.made_at, report.in_flight);
        if let Some(cold) = report.cold {
            self.warmth.record_report(report.made_at, cold);
        }
        self.start_waiting(now)
    }

    /// Records that the upstream crashed: all work is lost, and content that never completed becomes
    /// suspect.
    pub fn upstream_lost(&mut self, now: Duration) -> Vec<Action> {
        self.link = LinkState::Down;
        self.warmth.collapse(now, ColdSign::Failure);
        let solo = self.solo.take_if(|s| s.running).is_some();
        let (lost, contents) = self.running.take_all(now);
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

    /// The load report for entries.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let waiting = self.queue.len() + u32::from(self.solo.as_ref().is_some_and(|s| !s.running));
        LoadReport {
            in_flight: self.running.in_flight(),
            queued: waiting,
            limit: self.warmth.limit(),
            service_ms: (self.service_time_s.unwrap_or(0.0) * 1000.0) as u32,
            cold: self.warmth.is_cold(),
            leaving: self.closed_reason(now).is_some(),
            age_ms: 0,
        }
    }

    /// The ledger of suspects and quarantine.
    #[must_use]
    pub fn poison(&self) -> &PoisonLedger {
        &self.poison
    }

    /// The ledger, to merge records of other processes and to set the contents that operators
    /// released.
    pub fn poison_mut(&mut self) -> &mut PoisonLedger {
        &mut self.poison
    }

    /// Age of the newest confirmation of the configuration, to send to other processes.
    #[must_use]
    pub fn configuration_age(&self, now: Duration) -> Option<Duration> {
        self.confirmation.age(now)
    }
}
