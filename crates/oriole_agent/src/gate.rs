//! A shared handle to the admission gate, at which requests wait for admission.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::counter;
use oriole_admission::confirmation::Confirmation;
use oriole_admission::fleet_limit::{FleetLimits, LimitNotice, SenderPosition};
use oriole_admission::gate::{
    Action, Decision, FinishKind, Gate, GateConfig, Offer, Refusal, UpstreamReport, WorkId,
};
use oriole_admission::poison::{PoisonDigest, PoisonOutbox};
use oriole_kernel::clock::Clock;
use oriole_types::prelude::*;
use tokio::sync::oneshot;

/// Largest rounding error of a report's age, which is sent in whole milliseconds.
const MAX_AGE_ROUNDING: Duration = Duration::from_millis(1);

/// Position of the agent among the senders of its upstream: the only one.
const ONLY_SENDER: SenderPosition = SenderPosition {
    daemons: 1,
    ordinal: 0,
};

/// Key of the upstream among the limits: an agent has one.
const UPSTREAM: u64 = 0;

/// A handle to the admission gate behind one lock; clones share the gate.
#[derive(Clone)]
pub struct GateHandle {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    gate: Gate,
    /// Limit that the upstream announces.
    limits: FleetLimits,
    /// Channels to the tasks of queued work.
    waiting: HashMap<WorkId, oneshot::Sender<Result<(), Refusal>>>,
    next_id: WorkId,
    poison_outbox: PoisonOutbox,
    /// How often the upstream was lost.
    loss_count: u64,
    /// Time of the last loss, or of the start of this agent.
    last_lost_at: Duration,
}

/// Properties of work that affect its admission.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferFlags {
    /// Whether the entry knows that the content has completed before.
    pub proven: bool,
    /// Whether the work can run only at this upstream.
    pub pinned: bool,
}

/// Work that was admitted to the upstream; report its end with [`Self::finished`].
///
/// Work that is dropped instead counts as running until the upstream is lost, because the upstream
/// may still be busy with it and must not be overloaded.
pub struct AdmittedWork {
    gate: GateHandle,
    id: WorkId,
    /// Value of [`Inner::loss_count`] when the work was offered.
    loss_count: u64,
}

impl GateHandle {
    /// Creates a gate that admits nothing until the configuration is known and the upstream is
    /// connected.
    #[must_use]
    pub fn new(clock: Clock, cfg: GateConfig) -> Self {
        let gate = Gate::new(cfg, clock.now());
        let inner = Inner {
            gate,
            limits: FleetLimits::default(),
            waiting: HashMap::new(),
            next_id: WorkId(1),
            poison_outbox: PoisonOutbox::default(),
            loss_count: 0,
            last_lost_at: clock.now(),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits until work may run at the upstream.
    ///
    /// # Errors
    ///
    /// Refuses with a reason; nothing was sent to the upstream.
    pub async fn admit(
        &self,
        content: Digest,
        priority: Priority,
        deadline: Duration,
        flags: OfferFlags,
    ) -> Result<AdmittedWork, Refusal> {
        let (work, rx) = self.offer(content, priority, deadline, flags)?;
        let Some(rx) = rx else {
            return Ok(work);
        };
        let mut waiting = WaitingWork {
            gate: self,
            id: work.id,
            rx,
        };
        match (&mut waiting.rx).await {
            Ok(Ok(())) if work.is_current() => Ok(work),
            // The upstream was lost after the work was started. The gate no longer counts this
            // work, so it must not be sent.
            Ok(Ok(())) => Err(Refusal {
                reason: RefusalReason::UpstreamUnreachable,
                retry_after: None,
            }),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal {
                reason: RefusalReason::Cancelled,
                retry_after: None,
            }),
        }
    }

    /// Applies an event to the gate and executes the actions it returns.
    pub fn update(&self, event: impl FnOnce(&mut Gate, Duration) -> Vec<Action>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = event(&mut inner.gate, now);
        inner.apply(actions);
    }

    /// Reads from the gate.
    pub fn read<T>(&self, query: impl FnOnce(&Gate, Duration) -> T) -> T {
        let now = self.clock.now();
        query(&self.lock().gate, now)
    }

    /// Records a confirmation of the configuration.
    pub fn confirm_configuration(&self, confirmation: &Confirmation) {
        self.update(|gate, now| {
            gate.confirm_configuration(now, confirmation);
            Vec::new()
        });
    }

    /// Applies a load report that was requested at `requested_at` and was `age` old when the
    /// upstream sent it.
    pub fn upstream_report(
        &self,
        requested_at: Duration,
        age: Duration,
        in_flight: u32,
        cold: bool,
    ) {
        let report = UpstreamReport {
            made_at: requested_at.saturating_sub(age + MAX_AGE_ROUNDING),
            in_flight,
            cold: Some(cold),
        };
        self.update(|gate, now| gate.upstream_report(now, report));
    }

    /// Applies the limit that the upstream announces; `None` if it names none. A value that is no
    /// limit is ignored.
    pub fn set_limit(&self, per_s: Option<f64>) {
        if per_s.is_some_and(|per_s| !FleetLimits::is_valid(per_s)) {
            counter!("oriole_limits_ignored_total").increment(1);
            return;
        }
        let now = self.clock.now();
        let notice = LimitNotice {
            upstream: UPSTREAM,
            per_s,
            at: now,
        };
        if self.lock().limits.merge(now, notice).is_some() {
            counter!("oriole_limit_changes_total").increment(1);
        }
    }

    /// Records that the upstream's process was lost with all its work.
    pub fn upstream_lost(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.loss_count += 1;
        inner.last_lost_at = now;
        inner.limits = FleetLimits::default();
        let actions = inner.gate.upstream_lost(now);
        inner.apply(actions);
    }

    /// Whether a report requested at `requested_at` was made after the last loss of the upstream
    /// and after the start of this agent. An older one does not show what runs at the upstream now.
    #[must_use]
    pub fn is_report_after_loss(&self, requested_at: Duration, age: Duration) -> bool {
        let made_at = requested_at.checked_sub(age + MAX_AGE_ROUNDING);
        made_at.is_some_and(|at| at >= self.lock().last_lost_at)
    }

    /// The load report for entries.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.read(Gate::load_report)
    }

    /// Whether no work is running or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.read(|gate, _| gate.is_idle())
    }

    /// The records of suspect and quarantined content that were not sent to this run of a peer yet.
    #[must_use]
    pub fn next_poison_digest(&self, peer: &VmName, run: Incarnation) -> PoisonDigest {
        let now = self.clock.now();
        let inner = &mut *self.lock();
        let ledger = inner.gate.poison();
        inner.poison_outbox.next_digest(now, ledger, peer, run)
    }

    /// Merges a peer's records of suspect and quarantined content.
    pub fn merge_poison(&self, digest: &PoisonDigest) {
        self.update(|gate, now| {
            gate.poison_mut().merge(now, digest);
            Vec::new()
        });
    }

    fn offer(
        &self,
        content: Digest,
        priority: Priority,
        deadline: Duration,
        flags: OfferFlags,
    ) -> Result<(AdmittedWork, Option<DecisionReceiver>), Refusal> {
        let now = self.clock.now();
        let is_urgent = priority != Priority::Low;
        let mut inner = self.lock();
        let checked = inner.limits.check(now, UPSTREAM, ONLY_SENDER, is_urgent);
        checked.map_err(|reached| Refusal {
            reason: RefusalReason::UpstreamLimit,
            retry_after: Some(reached.next_slot),
        })?;
        let id = inner.next_id;
        inner.next_id = id.next();
        // A loss refuses all queued work, so the count is the same when the work starts.
        let work = AdmittedWork {
            gate: self.clone(),
            id,
            loss_count: inner.loss_count,
        };
        let mut offer = Offer::new(id, content, deadline).with_priority(priority);
        offer.proven = flags.proven;
        offer.pinned = flags.pinned;
        let decision = inner.gate.offer(now, offer);
        if !matches!(decision, Decision::Refuse(_)) {
            inner
                .limits
                .record_sent(now, UPSTREAM, ONLY_SENDER, is_urgent);
        }
        match decision {
            Decision::Admit => Ok((work, None)),
            Decision::Queue => {
                let (tx, rx) = oneshot::channel();
                inner.waiting.insert(id, tx);
                Ok((work, Some(rx)))
            }
            Decision::Refuse(refusal) => Err(refusal),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives the decision on queued work: `Ok` if it may start.
type DecisionReceiver = oneshot::Receiver<Result<(), Refusal>>;

/// Work that waits for admission, withdrawn when dropped.
struct WaitingWork<'a> {
    gate: &'a GateHandle,
    id: WorkId,
    rx: DecisionReceiver,
}

impl Drop for WaitingWork<'_> {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        inner.waiting.remove(&self.id);
        inner.gate.withdraw(self.id);
        drop(inner);
        // The work may have been started just before its caller left; it was not sent yet.
        if let Ok(Ok(())) = self.rx.try_recv() {
            let id = self.id;
            self.gate
                .update(|gate, now| gate.finished(now, id, FinishKind::Cancelled));
        }
    }
}

impl Inner {
    /// Executes actions of the gate: sends the decisions to the tasks of queued work.
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
                // The task that runs the work detects the broken connection itself.
                Action::Lost(_) => continue,
            };
            let sent = match self.waiting.remove(&id) {
                Some(tx) => tx.send(decision).is_ok(),
                None => false,
            };
            if !sent && decision.is_ok() {
                metrics::counter!("oriole_agent_started_unclaimed_total").increment(1);
            }
        }
    }
}

impl AdmittedWork {
    /// Whether the upstream has not been lost since the work was admitted.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.gate.lock().loss_count == self.loss_count
    }

    /// Records that the work produced output.
    pub fn output(&self, tokens: u32) {
        let id = self.id;
        self.gate.update(|gate, now| gate.output(now, id, tokens));
    }

    /// Records that the upstream has finished the work.
    pub fn finished(self, kind: FinishKind) {
        let id = self.id;
        self.gate.update(|gate, now| gate.finished(now, id, kind));
    }
}
