//! Failure detector for the processes of the own failure domain.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::config::MembershipConfig;
use crate::member::{Liveness, Member};
use crate::message::{Message, MessageKind, Update, UpdateState, VmId};

/// Maximum of [`Detector::timeout_backoff`].
const MAX_TIMEOUT_BACKOFF: u32 = 8;

/// Probe periods without a tick after which a process assumes that it was paused.
const PAUSED_AFTER_PERIODS: u32 = 2;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// VM of the receiver.
    pub to: VmName,
    /// The message itself.
    pub message: Message,
}

/// Detects which processes of a failure domain are alive.
///
/// In each period it probes one process. If no answer arrives, it asks other processes to probe the
/// target too, so that a process that only some can reach counts as alive for all. A target that
/// nobody reaches is suspected, and declared dead if it does not refute the suspicion in time. A
/// detector that misses many answers lengthens its timeouts. One that gets no answers at all, or
/// whose process was paused, declares nobody dead.
///
/// Call [`Detector::tick`] several times a period and [`Detector::on_message`] for each message.
#[derive(Debug)]
pub struct Detector {
    cfg: MembershipConfig,
    me: VmName,
    run: u64,
    /// Number of the newest update of this process about itself.
    counter: u32,
    leaving: bool,
    members: BTreeMap<VmId, Member>,
    /// Processes still to be probed in the current round.
    rotation: Vec<VmId>,
    probe: Option<Probe>,
    /// Probes made for other processes, by their sequence number here.
    relayed: BTreeMap<u32, RelayedProbe>,
    seq: u32,
    next_probe_at: Duration,
    last_tick: Option<Duration>,
    /// Missed answers that lengthen the timeouts; each answer takes one off.
    timeout_backoff: u32,
    /// Unanswered probes of processes that counted as alive, since the last answer.
    unanswered_probes: u32,
    pending_updates: VecDeque<PendingUpdate>,
}

/// The probe whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: VmId,
    seq: u32,
    sent_at: Duration,
    /// Whether other processes have been asked to probe the target.
    indirect: bool,
}

/// A probe that another process requested.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: VmName,
    /// Sequence number of the requester's probe.
    seq: u32,
    sent_at: Duration,
}

/// An update that is being spread.
#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    update: Update,
    /// Messages in which it must still be sent.
    sends_left: u32,
}

impl Detector {
    /// Creates the detector of a process; `run` is the random number of this run of the process.
    #[must_use]
    pub fn new(cfg: MembershipConfig, me: VmName, run: Incarnation) -> Self {
        Self {
            cfg,
            me,
            run: run.0,
            counter: 0,
            leaving: false,
            members: BTreeMap::new(),
            rotation: Vec::new(),
            probe: None,
            relayed: BTreeMap::new(),
            seq: 0,
            next_probe_at: Duration::ZERO,
            last_tick: None,
            timeout_backoff: 0,
            unanswered_probes: 0,
            pending_updates: VecDeque::new(),
        }
    }

    /// Sets the processes of the failure domain from the VM list; the state of those that stay is
    /// kept.
    pub fn set_members<'a>(&mut self, now: Duration, names: impl Iterator<Item = &'a VmName>) {
        let names: BTreeMap<VmId, &VmName> = names
            .filter(|n| **n != self.me)
            .map(|n| (VmId::from(n), n))
            .collect();
        self.members.retain(|id, _| names.contains_key(id));
        for (id, name) in names {
            self.members
                .entry(id)
                .or_insert_with(|| Member::new(name.clone(), now));
        }
    }

    /// Handles timeouts and starts probes; returns the messages to send.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        if self.was_paused(now) {
            self.resume(now);
        }
        self.last_tick = Some(now);
        let mut out = Vec::new();
        self.request_indirect_probes(now, rng, &mut out);
        self.expire_probes(now);
        self.declare_dead(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.cfg.probe_period;
            self.start_probe(now, rng, &mut out);
        }
        out
    }

    /// Handles a message; returns the messages to send.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: &VmName,
        message: &Message,
    ) -> Vec<OutgoingMessage> {
        let Ok(kind) = MessageKind::try_from(message.kind) else {
            return Vec::new();
        };
        for update in &message.updates {
            self.apply_update(now, update, false);
        }
        match kind {
            MessageKind::Probe => self.on_probe(now, from, message),
            MessageKind::Ack => self.on_ack(now, message),
            MessageKind::ProbeRequest => self.on_probe_request(now, from, message),
        }
    }

    /// Announces that this process is leaving; peers learn it from the next messages.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.counter += 1;
        self.queue_update(self.own_update());
    }

    /// Whether a process is available; one that is not a member counts as alive.
    #[must_use]
    pub fn liveness(&self, vm: &VmName) -> Liveness {
        self.members
            .get(&VmId::from(vm))
            .map_or(Liveness::Alive, Member::liveness)
    }

    /// Processes that are away; empty while this process seems to be isolated.
    #[must_use]
    pub fn away(&self) -> BTreeSet<VmName> {
        if self.is_isolated() {
            return BTreeSet::new();
        }
        let away = self
            .members
            .values()
            .filter(|m| m.liveness() == Liveness::Away);
        away.map(|m| m.name.clone()).collect()
    }

    /// Whether nobody answered the last probes, so that this process itself seems to be isolated.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.unanswered_probes >= self.cfg.isolated_after_probes
    }

    /// Whether there was no tick for so long that this process must have been paused.
    fn was_paused(&self, now: Duration) -> bool {
        let max_gap = self.cfg.probe_period * PAUSED_AFTER_PERIODS;
        self.last_tick
            .is_some_and(|last| now.saturating_sub(last) > max_gap)
    }

    /// After a pause, missing answers say nothing, so open probes are dropped and the timeouts of all
    /// suspicions restart.
    fn resume(&mut self, now: Duration) {
        self.probe = None;
        self.relayed.clear();
        self.next_probe_at = now;
        for member in self.members.values_mut() {
            member.restart_suspicion(now);
        }
    }

    fn start_probe(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<OutgoingMessage>) {
        let Some(target) = self.next_target(rng) else {
            return;
        };
        self.seq = self.seq.wrapping_add(1);
        self.probe = Some(Probe {
            target,
            seq: self.seq,
            sent_at: now,
            indirect: false,
        });
        let to = self.members[&target].name.clone();
        let message = self.build_message(MessageKind::Probe, self.seq, target, Some(target));
        out.push(OutgoingMessage { to, message });
    }

    /// The next process in a random rotation over all members.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<VmId> {
        loop {
            if self.rotation.is_empty() {
                self.rotation.extend(self.members.keys());
                self.rotation.shuffle(rng);
            }
            let target = self.rotation.pop()?;
            if self.members.contains_key(&target) {
                return Some(target);
            }
        }
    }

    /// Asks other processes to probe a target that did not answer the direct probe in time.
    fn request_indirect_probes(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let Some(probe) = self.probe else { return };
        let waited = now.saturating_sub(probe.sent_at);
        let timeout = self.backed_off(self.cfg.direct_timeout);
        if probe.indirect || waited < timeout.min(self.cfg.probe_period / 2) {
            return;
        }
        self.probe = Some(Probe {
            indirect: true,
            ..probe
        });
        let helpers = self
            .members
            .iter()
            .filter(|(id, m)| **id != probe.target && m.liveness() == Liveness::Alive)
            .map(|(_, m)| m.name.clone())
            .sample(rng, self.cfg.indirect_probes);
        for to in helpers {
            let message =
                self.build_message(MessageKind::ProbeRequest, probe.seq, probe.target, None);
            out.push(OutgoingMessage { to, message });
        }
    }

    /// Ends probes that nobody answered within a period, and suspects the target of this process's own
    /// probe.
    fn expire_probes(&mut self, now: Duration) {
        let period = self.cfg.probe_period;
        self.relayed
            .retain(|_, r| now.saturating_sub(r.sent_at) < period);
        let Some(probe) = self.probe else { return };
        if now.saturating_sub(probe.sent_at) < period {
            return;
        }
        self.probe = None;
        let was_alive = self
            .members
            .get(&probe.target)
            .is_some_and(|m| m.state() == UpdateState::Alive);
        if was_alive {
            self.unanswered_probes = self.unanswered_probes.saturating_add(1);
            self.timeout_backoff = (self.timeout_backoff + 1).min(MAX_TIMEOUT_BACKOFF);
        }
        if self.is_isolated() {
            return;
        }
        let cfg = &self.cfg;
        let update = self
            .members
            .get_mut(&probe.target)
            .and_then(|m| m.suspect(now, cfg));
        if let Some(update) = update {
            counter!("oriole_member_suspected_total").increment(1);
            self.queue_update(update);
        }
    }

    /// Declares suspects dead that did not refute in time, unless this process seems isolated.
    fn declare_dead(&mut self, now: Duration) {
        let timeout = self.backed_off(self.cfg.suspicion_timeout);
        let isolated = self.is_isolated();
        let mut dead = Vec::new();
        for member in self.members.values_mut() {
            member.decay_penalty(now, &self.cfg);
            if isolated {
                member.restart_suspicion(now);
            }
            dead.extend(member.expire_suspicion(now, timeout, &self.cfg));
        }
        for update in dead {
            counter!("oriole_member_dead_total").increment(1);
            self.queue_update(update);
        }
    }

    fn on_probe(
        &mut self,
        now: Duration,
        from: &VmName,
        message: &Message,
    ) -> Vec<OutgoingMessage> {
        let id = VmId::from(from);
        self.record_contact(now, id, message);
        let me = VmId::from(&self.me);
        let answer = self.build_message(MessageKind::Ack, message.seq, me, Some(id));
        vec![OutgoingMessage {
            to: from.clone(),
            message: answer,
        }]
    }

    /// Handles the answer to this process's own probe, or forwards the answer to a relayed one.
    fn on_ack(&mut self, now: Duration, message: &Message) -> Vec<OutgoingMessage> {
        let target = VmId(message.target);
        self.record_contact(now, target, message);
        if let Some(probe) = self.probe
            && (probe.target, probe.seq) == (target, message.seq)
        {
            self.probe = None;
            self.unanswered_probes = 0;
            self.timeout_backoff = self.timeout_backoff.saturating_sub(1);
        }
        let Some(relayed) = self.relayed.remove(&message.seq) else {
            return Vec::new();
        };
        let forwarded = Message {
            seq: relayed.seq,
            updates: Vec::new(),
            ..message.clone()
        };
        vec![OutgoingMessage {
            to: relayed.requester,
            message: forwarded,
        }]
    }

    /// Probes a target for another process.
    fn on_probe_request(
        &mut self,
        now: Duration,
        from: &VmName,
        message: &Message,
    ) -> Vec<OutgoingMessage> {
        let target = VmId(message.target);
        let Some(to) = self.members.get(&target).map(|m| m.name.clone()) else {
            return Vec::new();
        };
        self.seq = self.seq.wrapping_add(1);
        let seq = self.seq;
        let relayed = RelayedProbe {
            requester: from.clone(),
            seq: message.seq,
            sent_at: now,
        };
        self.relayed.insert(seq, relayed);
        vec![OutgoingMessage {
            to,
            message: self.build_message(MessageKind::Probe, seq, target, Some(target)),
        }]
    }

    /// Records that a process sent a message, which proves that its run is alive.
    fn record_contact(&mut self, now: Duration, id: VmId, message: &Message) {
        let state = UpdateState::Alive.into();
        let update = Update {
            vm: id.0,
            run: message.run,
            counter: message.counter,
            state,
        };
        let previous = self.members.get(&id).map(Member::state);
        let changed = self.apply_update(now, &update, true);
        let returned = previous.is_some_and(|s| s != UpdateState::Alive);
        if changed && returned {
            counter!("oriole_member_returned_total").increment(1);
        }
    }

    /// Applies an update and spreads it if it is new; returns whether it is.
    fn apply_update(&mut self, now: Duration, update: &Update, direct: bool) -> bool {
        let id = VmId(update.vm);
        if id == VmId::from(&self.me) {
            self.refute(update);
            return false;
        }
        let Some(member) = self.members.get_mut(&id) else {
            return false;
        };
        let first_contact = direct && member.latest_update().run == 0;
        let changed = member.apply(now, update, direct, &self.cfg);
        if changed && !first_contact {
            self.queue_update(*update);
        }
        changed
    }

    /// Refutes an update that says this process is suspect or dead.
    fn refute(&mut self, update: &Update) {
        let about_me = update.run == self.run || update.run == 0;
        let is_accusation = update.state == i32::from(UpdateState::Suspect)
            || update.state == i32::from(UpdateState::Dead);
        if !is_accusation || !about_me || update.counter < self.counter {
            return;
        }
        self.counter = update.counter + 1;
        counter!("oriole_member_refuted_total").increment(1);
        self.queue_update(self.own_update());
    }

    /// The update that this process sends about itself.
    fn own_update(&self) -> Update {
        let state = if self.leaving {
            UpdateState::Leaving
        } else {
            UpdateState::Alive
        };
        Update {
            vm: VmId::from(&self.me).0,
            run: self.run,
            counter: self.counter,
            state: state.into(),
        }
    }

    /// Queues an update to be sent with the next messages; it replaces an older one about the same VM.
    fn queue_update(&mut self, update: Update) {
        self.pending_updates.retain(|p| p.update.vm != update.vm);
        let size = (self.members.len() + 2) as f64;
        let sends_left = (self.cfg.update_retransmit_factor * size.log2()).ceil() as u32;
        self.pending_updates
            .push_front(PendingUpdate { update, sends_left });
    }

    /// Builds a message with the updates at the front of the queue. An update that says the receiver
    /// is not alive goes first, so that the receiver can refute it.
    fn build_message(
        &mut self,
        kind: MessageKind,
        seq: u32,
        target: VmId,
        to: Option<VmId>,
    ) -> Message {
        let about_receiver = to
            .and_then(|id| self.members.get(&id))
            .filter(|m| m.state() != UpdateState::Alive)
            .map(Member::latest_update);
        let mut updates: Vec<Update> = about_receiver.into_iter().collect();
        let free = self.cfg.updates_per_message.saturating_sub(updates.len());
        for mut pending in self
            .pending_updates
            .drain(..free.min(self.pending_updates.len()))
            .collect::<Vec<_>>()
        {
            updates.push(pending.update);
            pending.sends_left -= 1;
            if pending.sends_left > 0 {
                self.pending_updates.push_back(pending);
            }
        }
        Message {
            kind: kind.into(),
            seq,
            target: target.0,
            run: self.run,
            counter: self.counter,
            updates,
        }
    }

    /// A timeout, lengthened by half for each missed answer in the backoff.
    fn backed_off(&self, timeout: Duration) -> Duration {
        timeout * (2 + self.timeout_backoff) / 2
    }
}
