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

mod queue;
mod running;
mod types;

use std::time::Duration;

use metrics::counter;
use oriole_types::catalog::{Pool, PoolKind, ServiceState};
use oriole_types::digest::Digest;
use oriole_types::fleet::LoadReport;
use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;

pub use self::types::{
    Action, Decision, FinishKind, GateConfig, Offer, Refusal, UpstreamReport, WorkId,
};

use self::queue::Queue;
use self::running::{Running, Work};
use crate::confirmation::{Confirmation, ConfirmationWatch};
use crate::poison::{CrashId, PoisonLedger, Standing, home_of_suspect, homes};
use crate::warmth::{ColdSign, Pace, Sample, Warmth};

/// Weight of a new service time in the smoothed one.
const SERVICE_WEIGHT: f64 = 0.1;
/// Silence of the daemon itself, in warm times, after which what it hears may be old.
const PAUSE_FACTOR: f64 = 1.5;
/// Silence of the daemon itself after which the silence of others means nothing: several ticks.
const PAUSE: Duration = Duration::from_millis(20);
/// Time after which asking again may help where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

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
    confirmation: ConfirmationWatch,
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
            confirmation: ConfirmationWatch::new(cfg.configuration_bound),
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
            self.poison.completed(&offer.content, false);
        }
        let verdict = self.judge(now, &offer);
        match verdict {
            Err(reason) => Decision::Refuse(self.refusal(reason)),
            Ok(Standing::Suspect) => self.offer_suspect(now, offer),
            Ok(_) => self.offer_usual(now, offer),
        }
    }

    /// Notes output of running work: the first, and each later one with the tokens it held.
    pub fn output(&mut self, now: Duration, id: WorkId, tokens: u32) -> Vec<Action> {
        let in_time = self.hears_in_time(now);
        let Some(work) = self.running.get_mut(id) else {
            return Vec::new();
        };
        let first = work.first_output.is_none();
        work.first_output = work.first_output.or(Some(now));
        work.last_output = Some(now);
        let tokens_after_first = if first { 0 } else { tokens };
        work.tokens += tokens_after_first;
        let stretch = work.lengthen(now, tokens_after_first);
        let gap = work.reference().map(|from| Sample {
            from,
            to: now,
            tokens,
        });
        let pace = gap.map(|s| self.warmth.judge(&s));
        let evidence = if in_time && pace != Some(Pace::Burst) {
            work.heard_in_time(now, pace == Some(Pace::Warm))
        } else {
            work.distrust();
            None
        };
        if let Some(slow) = gap.filter(|_| in_time && pace == Some(Pace::Slow)) {
            self.warmth.slow(slow);
        }
        stretch.into_iter().for_each(|s| self.warmth.stretch(s));
        if evidence.is_some() {
            self.warmth.evidence(evidence.max(self.running.agreed()));
        }
        self.start_waiting(now)
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
            self.solo_rest_until = now + held.min(self.cfg.suspect_rest);
        }
        if kind == FinishKind::Complete {
            self.poison.completed(&work.content, solo.is_some());
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
    pub fn is_quiet(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty() && self.solo.is_none()
    }

    /// Notes that some process, or a read of the store, confirmed the configuration.
    pub fn heard_configuration(&mut self, now: Duration, confirmation: &Confirmation) {
        self.confirmation.heard(now, confirmation);
    }

    /// Notes that the upstream is there, with so many requests in flight that this agent did not
    /// start or no longer knows. Call it after a start and after each loss.
    pub fn upstream_found(&mut self, now: Duration, in_flight: u32) {
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
        self.poison.crashed(now, &id, &contents, solo);
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

    /// Whether what is heard now was made just now. After a pause of this process it was not, and
    /// what was heard last before the pause may have been late as well.
    fn hears_in_time(&mut self, now: Duration) -> bool {
        let before = std::mem::replace(&mut self.heard_at, now);
        let deaf = now.saturating_sub(before);
        if deaf > PAUSE {
            self.paused_until = now;
        }
        let Some(pace) = self.warmth.pace() else {
            return true;
        };
        if deaf > pace.mul_f64(PAUSE_FACTOR) {
            self.awake_since = now;
            self.running.distrust_outputs();
        }
        now > self.awake_since + pace
    }

    /// Why nothing may start at all.
    fn closed(&self, now: Duration) -> Option<RefusalReason> {
        let drained = self.service_state == Some(ServiceState::Drained);
        if self.leaving || drained {
            return Some(RefusalReason::Draining);
        }
        if self.service_state.is_none() || !self.confirmation.may_act(now) {
            return Some(RefusalReason::NoConfiguration);
        }
        match self.link {
            Link::Up => None,
            Link::Unknown => Some(RefusalReason::AgentStarting),
            Link::Down => Some(RefusalReason::UpstreamUnreachable),
        }
    }

    fn judge(&self, now: Duration, offer: &Offer) -> Result<Standing, RefusalReason> {
        if let Some(reason) = self.closed(now) {
            return Err(reason);
        }
        if offer.deadline <= now {
            return Err(RefusalReason::Deadline);
        }
        let standing = self.poison.standing(&offer.content);
        match standing {
            Standing::Quarantined => Err(RefusalReason::Quarantined),
            Standing::Suspect if !self.is_home_of_suspect(&offer.content) => {
                Err(RefusalReason::NotHome)
            }
            Standing::Unproven if !self.is_home(&offer.content) => Err(RefusalReason::NotHome),
            standing => Ok(standing),
        }
    }

    fn is_home(&self, content: &Digest) -> bool {
        let unknown = !self.cfg.enforces_homes || self.pool.is_empty();
        unknown || homes(content, &self.pool).contains(&&self.cfg.vm)
    }

    fn is_home_of_suspect(&self, content: &Digest) -> bool {
        let home = home_of_suspect(content, &self.pool);
        home.is_none_or(|vm| *vm == self.cfg.vm)
    }

    fn offer_usual(&mut self, now: Duration, offer: Offer) -> Decision {
        if self.queue.is_empty() && self.has_room() {
            self.running.start(now, &offer);
            return Decision::Admit;
        }
        let wait = self.expected_wait(self.queue.ahead_of(&offer));
        if now + wait >= offer.deadline {
            return Decision::Refuse(self.refusal(RefusalReason::Deadline));
        }
        if !self.queue.has_room(offer.priority, self.queue_capacity()) {
            return Decision::Refuse(self.refusal(self.full_reason()));
        }
        self.queue.push(offer);
        Decision::Queue
    }

    fn offer_suspect(&mut self, now: Duration, offer: Offer) -> Decision {
        if self.solo.is_some() || now < self.solo_rest_until {
            return Decision::Refuse(self.refusal(RefusalReason::SuspectBusy));
        }
        let running = self.running.is_empty();
        if running {
            self.running.start(now, &offer);
        }
        self.solo = Some(Solo {
            offer,
            since: now,
            running,
        });
        if running {
            Decision::Admit
        } else {
            Decision::Queue
        }
    }

    fn has_room(&self) -> bool {
        let exposed = self.running.started_since(self.warmth.warm_at());
        self.solo.is_none()
            && self.running.in_flight() < self.warmth.limit()
            && exposed < self.warmth.exposure()
    }

    /// Room in the queue in proportion to what the upstream bears now: what would wait for a cold
    /// upstream is served sooner elsewhere.
    fn queue_capacity(&self) -> u32 {
        let limit = self.warmth.limit();
        let share = self.cfg.queue_capacity * limit / self.warmth.warm_concurrency().max(1);
        share.max(limit).min(self.cfg.queue_capacity)
    }

    /// Refuses what no longer fits into the queue, least urgent first.
    fn shed(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.queue.len() > self.queue_capacity() {
            let Some(offer) = self.queue.pop_last() else {
                break;
            };
            let refusal = self.refusal(self.full_reason());
            actions.push(Action::Refuse(offer.id, refusal));
        }
        actions
    }

    fn full_reason(&self) -> RefusalReason {
        if self.warmth.is_cold() {
            RefusalReason::UpstreamCold
        } else {
            RefusalReason::QueueFull
        }
    }

    /// Time until a place is free for work that has so many others ahead of it.
    fn expected_wait(&self, ahead: u32) -> Duration {
        let service = self.service_s.unwrap_or(0.0);
        let limit = f64::from(self.warmth.limit().max(1));
        Duration::from_secs_f64(service * f64::from(ahead + 1) / limit)
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        counter!("oriole_admission_refused_total", "reason" => reason.as_str()).increment(1);
        let retry_after = match reason {
            RefusalReason::Quarantined | RefusalReason::Draining | RefusalReason::NotHome => None,
            RefusalReason::SuspectBusy => Some(self.cfg.suspect_rest),
            RefusalReason::QueueFull | RefusalReason::UpstreamCold => {
                Some(self.expected_wait(self.queue.len()).max(RETRY_AFTER))
            }
            _ => Some(RETRY_AFTER),
        };
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Starts what may start now, most urgent first.
    fn start_waiting(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.closed(now).is_some() {
            return actions;
        }
        if let Some(id) = self.start_solo(now) {
            actions.push(Action::Start(id));
        }
        while self.has_room() {
            let Some(offer) = self.queue.pop() else { break };
            actions.push(self.start_or_refuse(now, offer));
        }
        actions
    }

    /// Starts work that waited, unless its content got into disrepute meanwhile.
    fn start_or_refuse(&mut self, now: Duration, offer: Offer) -> Action {
        let id = offer.id;
        let refused = match self.judge(now, &offer) {
            Ok(Standing::Suspect) => RefusalReason::SuspectBusy,
            Ok(_) => {
                self.running.start(now, &offer);
                return Action::Start(id);
            }
            Err(reason) => reason,
        };
        Action::Refuse(id, self.refusal(refused))
    }

    fn start_solo(&mut self, now: Duration) -> Option<WorkId> {
        let empty = self.running.is_empty();
        let solo = self.solo.as_mut().filter(|s| !s.running && empty)?;
        solo.running = true;
        let offer = solo.offer.clone();
        self.running.start(now, &offer);
        Some(offer.id)
    }

    fn expire(&mut self, now: Duration) -> Vec<Action> {
        let late = self.queue.take_if(|offer| offer.deadline <= now);
        let mut actions: Vec<_> = late
            .into_iter()
            .map(|id| Action::Refuse(id, self.refusal(RefusalReason::Deadline)))
            .collect();
        let patience = self.cfg.suspect_patience;
        let over =
            |s: &mut Solo| !s.running && (now >= s.since + patience || now >= s.offer.deadline);
        if let Some(solo) = self.solo.take_if(over) {
            self.solo_rest_until = now + self.cfg.suspect_rest;
            let refusal = self.refusal(RefusalReason::SuspectBusy);
            actions.push(Action::Refuse(solo.offer.id, refusal));
        }
        actions
    }

    fn refuse_waiting(&mut self, reason: RefusalReason) -> Vec<Action> {
        let mut ids = self.queue.take_if(|_| true);
        let solo = self.solo.take_if(|s| !s.running);
        ids.extend(solo.map(|s| s.offer.id));
        ids.into_iter()
            .map(|id| Action::Refuse(id, self.refusal(reason)))
            .collect()
    }

    fn completed(&mut self, now: Duration, work: &Work) {
        let taken = now.saturating_sub(work.started).as_secs_f64();
        let smoothed = self.service_s.unwrap_or(taken);
        self.service_s = Some(smoothed + (taken - smoothed) * SERVICE_WEIGHT);
        if self.cfg.kind == PoolKind::Service {
            return self.whole_answer(now, work);
        }
        work.last_stretch()
            .into_iter()
            .for_each(|s| self.warmth.stretch(s));
        work.whole()
            .into_iter()
            .for_each(|s| self.warmth.completed(s));
    }

    fn whole_answer(&mut self, now: Duration, work: &Work) {
        let sample = Sample {
            from: work.started,
            to: now,
            tokens: 1,
        };
        self.warmth.stretch(sample);
        match self.warmth.judge(&sample) {
            Pace::Warm => self.warmth.evidence(Some(sample.from)),
            Pace::Slow => self.warmth.slow(sample),
            Pace::Burst | Pace::Unclear => {}
        }
        self.warmth.completed(sample);
    }
}
