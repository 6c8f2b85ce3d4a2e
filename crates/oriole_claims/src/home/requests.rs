//! Requests: answers from what is known, and claims for new keys.

use std::time::Duration;

use oriole_types::digest::Digest;
use oriole_types::outcome::{RefusalReason, UnknownReason};

use super::ClaimHome;
use crate::config::millis;
use crate::key::{ClaimKey, KeyForm};
use crate::partition::{ExistingClaim, Partition, PendingClaim};
use crate::request::{CallId, ClaimOutcome, ClaimRequest};
use crate::table::{Phase, Record};
use crate::ticket::Ticket;

impl ClaimHome {
    pub(super) fn on_request(&mut self, now: Duration, call: CallId, req: &ClaimRequest) {
        if req.recall.is_some_and(|i| i != self.home.incarnation) {
            self.reply(call, ClaimOutcome::Unknown(UnknownReason::HomeLost));
            return;
        }
        let key = ClaimKey::of(&req.account, &req.entry, &req.key);
        self.add_call(now, call, key, req.timeout);
        if self.table.get(key).is_some() {
            self.attach(now, call, key, &req.content);
            return;
        }
        if req.recall.is_some() {
            self.end_call(call, ClaimOutcome::Unknown(UnknownReason::AnswerLost));
            return;
        }
        match KeyForm::of(&req.key) {
            KeyForm::Malformed => self.refuse(call, RefusalReason::RequestInvalid),
            KeyForm::Ticket(ticket) => self.on_ticket(now, call, key, req, &ticket),
            KeyForm::Timestamped(ms) => self.on_caller_key(now, call, key, req, Some(ms)),
            KeyForm::Plain => self.on_caller_key(now, call, key, req, None),
        }
    }

    /// Attaches a call to the record of its key: it is answered at once, waits for the run, or
    /// starts it.
    pub(super) fn attach(&mut self, now: Duration, call: CallId, key: ClaimKey, content: &Digest) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if record.content != *content {
            self.refuse(call, RefusalReason::KeyReused);
            return;
        }
        let outcome = match &record.phase {
            Phase::Claiming | Phase::Running => {
                record.waiting.push_back(call);
                None
            }
            Phase::Bound => {
                record.waiting.push_back(call);
                self.start(now, key);
                return;
            }
            Phase::Done(answer) => Some(ClaimOutcome::Replay(answer.clone())),
            Phase::Unknown(reason) => Some(ClaimOutcome::Unknown(*reason)),
        };
        match outcome {
            Some(outcome) => self.end_call(call, outcome),
            None => self.extend_if_running(key, call),
        }
    }

    /// Lets a call that waits for a run already started wait until its deadline instead of the
    /// claim timeout.
    pub(super) fn extend_if_running(&mut self, key: ClaimKey, call: CallId) {
        let running = |r: &Record| r.phase == Phase::Running;
        if self.table.get(key).is_some_and(running) {
            self.extend_to_deadline(call);
        }
    }

    pub(super) fn on_ticket(
        &mut self,
        now: Duration,
        call: CallId,
        key: ClaimKey,
        req: &ClaimRequest,
        ticket: &Ticket,
    ) {
        if !ticket.is_genuine(&self.cfg.secret, &req.account, &req.entry) {
            self.refuse(call, RefusalReason::RequestInvalid);
        } else if ticket.home.vm != self.home.vm {
            let home = Some(ticket.home.vm.clone());
            let reason = RefusalReason::NotHome;
            self.end_call(call, ClaimOutcome::NotRun { reason, home });
        } else if ticket.home != self.home {
            self.end_call(call, ClaimOutcome::Unknown(UnknownReason::HomeLost));
        } else if let Some(reason) = self.ticket_refusal(now, ticket) {
            self.refuse(call, reason);
        } else {
            self.table.insert(now, key, req.content, Phase::Bound);
            self.attach(now, call, key, &req.content);
        }
    }

    /// Why a ticket of this incarnation may not start a run; `None` if it may. A ticket's record is
    /// dropped only after the ticket expired by the same clock, so that a ticket whose record is
    /// gone is never accepted again.
    pub(super) fn ticket_refusal(&self, now: Duration, ticket: &Ticket) -> Option<RefusalReason> {
        let now_ms = millis(now);
        if ticket.issued_ms > now_ms {
            return Some(RefusalReason::RequestInvalid);
        }
        if now_ms - ticket.issued_ms > millis(self.cfg.limits.retention) {
            return Some(RefusalReason::KeyExpired);
        }
        self.new_key_refusal()
    }

    /// Why no new key may be accepted now; `None` if it may.
    pub(super) fn new_key_refusal(&self) -> Option<RefusalReason> {
        let Some(live) = &self.live else {
            return Some(RefusalReason::AgentStarting);
        };
        if !live.contains(&self.home.vm) {
            return Some(RefusalReason::Draining);
        }
        (self.table.len() >= self.cfg.limits.max_records).then_some(RefusalReason::QueueFull)
    }

    pub(super) fn on_caller_key(
        &mut self,
        now: Duration,
        call: CallId,
        key: ClaimKey,
        req: &ClaimRequest,
        issued_ms: Option<u64>,
    ) {
        let pending = PendingClaim {
            key,
            content: content_prefix(&req.content),
            issued_ms,
            maybe_committed: false,
        };
        let Some(partitions) = self.layout.partitions() else {
            self.awaiting_layout.push(pending);
            self.table.insert(now, key, req.content, Phase::Claiming);
            self.attach(now, call, key, &req.content);
            return;
        };
        let id = key.partition(partitions);
        if let Some(outcome) = self.outcome_without_claim(now, id, &pending) {
            self.end_call(call, outcome);
            return;
        }
        self.table.insert(now, key, req.content, Phase::Claiming);
        self.attach(now, call, key, &req.content);
        self.partitions[id as usize].add_pending(pending);
    }

    /// The outcome of a request whose key has no record here; `None` if a new claim is needed.
    pub(super) fn outcome_without_claim(
        &self,
        now: Duration,
        id: u32,
        pending: &PendingClaim,
    ) -> Option<ClaimOutcome> {
        if self.live.is_none() {
            return Some(ClaimOutcome::not_run(RefusalReason::AgentStarting));
        }
        let partition = &self.partitions[id as usize];
        if partition.is_ready() {
            return self.outcome_in_owned_partition(now, partition, pending);
        }
        let owner = self.preferred_owner(id);
        if owner != Some(&self.home.vm) {
            let home = owner.cloned();
            let reason = RefusalReason::NotHome;
            return Some(ClaimOutcome::NotRun { reason, home });
        }
        self.new_claim_refusal(now, pending)
            .map(ClaimOutcome::not_run)
    }

    /// Like [`Self::outcome_without_claim`], for a partition that this home owns.
    pub(super) fn outcome_in_owned_partition(
        &self,
        now: Duration,
        partition: &Partition,
        claim: &PendingClaim,
    ) -> Option<ClaimOutcome> {
        if let Some(existing) = partition.lookup(claim.key) {
            return Some(self.outcome_of_existing(existing, claim.content));
        }
        if claim
            .issued_ms
            .is_some_and(|ms| ms < partition.min_issued_ms())
        {
            return Some(ClaimOutcome::not_run(RefusalReason::KeyExpired));
        }
        self.new_claim_refusal(now, claim)
            .map(ClaimOutcome::not_run)
    }

    pub(super) fn outcome_of_existing(
        &self,
        existing: ExistingClaim,
        content: u32,
    ) -> ClaimOutcome {
        if existing.content != content {
            return ClaimOutcome::not_run(RefusalReason::KeyReused);
        }
        match existing.home {
            // The claim is this incarnation's and its record has been dropped.
            Some(home) if home == self.home => ClaimOutcome::Unknown(UnknownReason::AnswerLost),
            Some(home) if home.vm == self.home.vm => ClaimOutcome::Unknown(UnknownReason::HomeLost),
            Some(home) => ClaimOutcome::Elsewhere(home),
            None => ClaimOutcome::Unknown(UnknownReason::HomeLost),
        }
    }

    /// Why a new claim may not be made; `None` if it may.
    pub(super) fn new_claim_refusal(
        &self,
        now: Duration,
        claim: &PendingClaim,
    ) -> Option<RefusalReason> {
        if let Some(issued_ms) = claim.issued_ms {
            let limits = &self.cfg.limits;
            let unix_ms = self.cfg.unix_ms(now);
            if issued_ms + millis(limits.retention) < unix_ms {
                return Some(RefusalReason::KeyExpired);
            }
            if issued_ms > unix_ms + millis(limits.max_issue_ahead) {
                return Some(RefusalReason::RequestInvalid);
            }
        }
        self.new_key_refusal()
    }
}

/// The first four bytes of a content digest, as stored with a claim.
fn content_prefix(content: &Digest) -> u32 {
    let mut buf = [0; 4];
    buf.copy_from_slice(&content.0[..4]);
    u32::from_be_bytes(buf)
}
