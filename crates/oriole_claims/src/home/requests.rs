//! Requests: what a home says at once, and what it binds first.

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
            self.join(now, call, key, &req.content);
            return;
        }
        if req.recall.is_some() {
            self.end_call(call, ClaimOutcome::Unknown(UnknownReason::AnswerLost));
            return;
        }
        match KeyForm::of(&req.key) {
            KeyForm::Malformed => self.refuse(call, RefusalReason::RequestInvalid),
            KeyForm::Ticket(ticket) => self.on_ticket(now, call, key, req, &ticket),
            KeyForm::Timestamped(ms) => self.on_opaque(now, call, key, req, Some(ms)),
            KeyForm::Plain => self.on_opaque(now, call, key, req, None),
        }
    }

    /// A request whose key this incarnation remembers.
    pub(super) fn join(&mut self, now: Duration, call: CallId, key: ClaimKey, content: &Digest) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if record.content != *content {
            self.refuse(call, RefusalReason::KeyReused);
            return;
        }
        let end = match &record.phase {
            Phase::Claiming | Phase::Running => {
                record.waiting.push_back(call);
                None
            }
            Phase::Held => {
                record.waiting.push_back(call);
                self.start(now, key);
                return;
            }
            Phase::Done(answer) => Some(ClaimOutcome::Replay(answer.clone())),
            Phase::Lost(reason) => Some(ClaimOutcome::Unknown(*reason)),
        };
        match end {
            Some(end) => self.end_call(call, end),
            None => self.limit_joined(key, call),
        }
    }

    /// A call that joined a run waits until its deadline, not only for the store.
    pub(super) fn limit_joined(&mut self, key: ClaimKey, call: CallId) {
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
            self.table.insert(now, key, req.content, Phase::Held);
            self.join(now, call, key, &req.content);
        }
    }

    /// Why a ticket of this incarnation may not start a run. The home forgets a ticket's record
    /// only after the ticket's expiry on this same clock, so nothing forgotten is accepted again.
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

    pub(super) fn new_key_refusal(&self) -> Option<RefusalReason> {
        let Some(live) = &self.live else {
            return Some(RefusalReason::AgentStarting);
        };
        if !live.contains(&self.home.vm) {
            return Some(RefusalReason::Draining);
        }
        (self.table.len() >= self.cfg.limits.max_records).then_some(RefusalReason::QueueFull)
    }

    pub(super) fn on_opaque(
        &mut self,
        now: Duration,
        call: CallId,
        key: ClaimKey,
        req: &ClaimRequest,
        issued_ms: Option<u64>,
    ) {
        let pending = PendingClaim {
            key,
            content: content_check(&req.content),
            issued_ms,
            carried: false,
        };
        let Some(partitions) = self.layout.partitions() else {
            self.unplaced.push(pending);
            self.table.insert(now, key, req.content, Phase::Claiming);
            self.join(now, call, key, &req.content);
            return;
        };
        let id = key.partition(partitions);
        if let Some(end) = self.opaque_end(now, id, &pending) {
            self.end_call(call, end);
            return;
        }
        self.table.insert(now, key, req.content, Phase::Claiming);
        self.join(now, call, key, &req.content);
        self.partitions[id as usize].claim(pending);
    }

    /// The end of a request whose key this home has no record of, if it needs no new claim.
    pub(super) fn opaque_end(
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
            return self.claimed_end(now, partition, pending);
        }
        let soft = self.preferred_owner(id);
        if soft != Some(&self.home.vm) {
            let home = soft.cloned();
            let reason = RefusalReason::NotHome;
            return Some(ClaimOutcome::NotRun { reason, home });
        }
        self.new_claim_refusal(now, pending)
            .map(ClaimOutcome::not_run)
    }

    /// The same for a partition this home owns.
    pub(super) fn claimed_end(
        &self,
        now: Duration,
        partition: &Partition,
        new: &PendingClaim,
    ) -> Option<ClaimOutcome> {
        if let Some(claimed) = partition.lookup(new.key) {
            return Some(self.known_end(claimed, new.content));
        }
        if new
            .issued_ms
            .is_some_and(|ms| ms < partition.min_issued_ms())
        {
            return Some(ClaimOutcome::not_run(RefusalReason::KeyExpired));
        }
        self.new_claim_refusal(now, new).map(ClaimOutcome::not_run)
    }

    pub(super) fn known_end(&self, claimed: ExistingClaim, content: u32) -> ClaimOutcome {
        if claimed.content != content {
            return ClaimOutcome::not_run(RefusalReason::KeyReused);
        }
        match claimed.home {
            // The claim is this incarnation's, and its record is gone.
            Some(home) if home == self.home => ClaimOutcome::Unknown(UnknownReason::AnswerLost),
            Some(home) if home.vm == self.home.vm => ClaimOutcome::Unknown(UnknownReason::HomeLost),
            Some(home) => ClaimOutcome::Elsewhere(home),
            None => ClaimOutcome::Unknown(UnknownReason::HomeLost),
        }
    }

    pub(super) fn new_claim_refusal(
        &self,
        now: Duration,
        new: &PendingClaim,
    ) -> Option<RefusalReason> {
        if let Some(issued_ms) = new.issued_ms {
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

fn content_check(content: &Digest) -> u32 {
    let mut buf = [0; 4];
    buf.copy_from_slice(&content.0[..4]);
    u32::from_be_bytes(buf)
}
