//! Which processes of the own failure domain live.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::config::MembershipConfig;
use crate::member::{Liveness, Member};
use crate::message::{Message, MessageKind, Update, UpdateState, VmId};

/// Most steps by which a process that misses answers makes itself more patient.
const MAX_PATIENCE: u32 = 8;

/// Periods without a tick after which a process takes it that it was paused.
const PAUSED_AFTER_PERIODS: u32 = 2;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: VmName,
    /// Message.
    pub message: Message,
}

/// Tells which processes of a failure domain live.
///
/// Each period it probes one process. If no answer comes, others probe it as well, so that a
/// process that only some can reach stays alive for all. One that nobody reaches is suspected; it
/// has time to refute before it is declared dead. A process that misses many answers trusts its own
/// judgement less, and one that hears from nobody, or was paused, declares nobody dead.
///
/// Call [`Detector::tick`] several times a period and [`Detector::on_message`] for each message.
#[derive(Debug)]
pub struct Detector {
    cfg: MembershipConfig,
    me: VmName,
    run: u64,
    counter: u32,
    leaving: bool,
    members: BTreeMap<VmId, Member>,
    rotation: Vec<VmId>,
    probe: Option<Probe>,
    relayed: BTreeMap<u32, Relayed>,
    seq: u32,
    next_probe: Duration,
    last_tick: Option<Duration>,
    patience: u32,
    unanswered: u32,
    news: VecDeque<News>,
}

/// The probe that is under way.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: VmId,
    seq: u32,
    sent: Duration,
    indirect: bool,
}

/// A probe made for another process.
#[derive(Clone, Debug)]
struct Relayed {
    for_vm: VmName,
    seq: u32,
    sent: Duration,
}

/// An update that is being spread.
#[derive(Clone, Copy, Debug)]
struct News {
    update: Update,
    left: u32,
}

impl Detector {
    /// A detector for a process; `run` is the random number of this run of the process.
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
            next_probe: Duration::ZERO,
            last_tick: None,
            patience: 0,
            unanswered: 0,
            news: VecDeque::new(),
        }
    }

    /// Sets the processes of the failure domain, as the VM list shows them; what is known of those
    /// that stay is kept.
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

    /// Lets time pass; returns the messages to send.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<OutgoingMessage> {
        if self.was_paused(now) {
            self.resume(now);
        }
        self.last_tick = Some(now);
        let mut out = Vec::new();
        self.ask_others(now, rng, &mut out);
        self.close_probe(now);
        self.declare_dead(now);
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.probe_period;
            self.start_probe(now, rng, &mut out);
        }
        out
    }

    /// Takes in a message; returns the messages to send.
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
            self.learn(now, update, false);
        }
        match kind {
            MessageKind::Probe => self.answer(now, from, message),
            MessageKind::Ack => self.acked(now, message),
            MessageKind::ProbeRequest => self.probe_for(now, from, message),
        }
    }

    /// Says that this process is leaving; peers hear it with the next messages.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.counter += 1;
        self.spread(self.own_news());
    }

    /// Whether a process can be counted on; those that are not members count as alive.
    #[must_use]
    pub fn liveness(&self, vm: &VmName) -> Liveness {
        self.members
            .get(&VmId::from(vm))
            .map_or(Liveness::Alive, Member::liveness)
    }

    /// Processes that cannot be counted on; nobody while this process seems cut off.
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

    /// Whether nobody answered the last probes, so that this process seems cut off itself.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.unanswered >= self.cfg.isolated_after_probes
    }

    fn was_paused(&self, now: Duration) -> bool {
        let longest = self.cfg.probe_period * PAUSED_AFTER_PERIODS;
        self.last_tick
            .is_some_and(|last| now.saturating_sub(last) > longest)
    }

    /// After a pause the answers that did not come say nothing, and suspects get their time anew.
    fn resume(&mut self, now: Duration) {
        self.probe = None;
        self.relayed.clear();
        self.next_probe = now;
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
            sent: now,
            indirect: false,
        });
        let to = self.members[&target].name.clone();
        let message = self.message(MessageKind::Probe, self.seq, target, Some(target));
        out.push(OutgoingMessage { to, message });
    }

    /// The next process in a random rotation over all.
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

    fn ask_others(&mut self, now: Duration, rng: &mut impl Rng, out: &mut Vec<OutgoingMessage>) {
        let Some(probe) = self.probe else { return };
        let waited = now.saturating_sub(probe.sent);
        let patient = self.patient(self.cfg.direct_timeout);
        if probe.indirect || waited < patient.min(self.cfg.probe_period / 2) {
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
            let message = self.message(MessageKind::ProbeRequest, probe.seq, probe.target, None);
            out.push(OutgoingMessage { to, message });
        }
    }

    /// Ends a probe that nobody answered within its period.
    fn close_probe(&mut self, now: Duration) {
        let period = self.cfg.probe_period;
        self.relayed
            .retain(|_, r| now.saturating_sub(r.sent) < period);
        let Some(probe) = self.probe else { return };
        if now.saturating_sub(probe.sent) < period {
            return;
        }
        self.probe = None;
        let was_alive = self
            .members
            .get(&probe.target)
            .is_some_and(|m| m.state() == UpdateState::Alive);
        if was_alive {
            self.unanswered = self.unanswered.saturating_add(1);
            self.patience = (self.patience + 1).min(MAX_PATIENCE);
        }
        if self.is_isolated() {
            return;
        }
        let cfg = &self.cfg;
        let news = self
            .members
            .get_mut(&probe.target)
            .and_then(|m| m.suspect(now, cfg));
        if let Some(news) = news {
            counter!("oriole_member_suspected_total").increment(1);
            self.spread(news);
        }
    }

    fn declare_dead(&mut self, now: Duration) {
        let suspicion = self.patient(self.cfg.suspicion_timeout);
        let isolated = self.is_isolated();
        let mut dead = Vec::new();
        for member in self.members.values_mut() {
            member.fade(now, &self.cfg);
            if isolated {
                member.restart_suspicion(now);
            }
            dead.extend(member.give_up(now, suspicion, &self.cfg));
        }
        for news in dead {
            counter!("oriole_member_dead_total").increment(1);
            self.spread(news);
        }
    }

    fn answer(&mut self, now: Duration, from: &VmName, message: &Message) -> Vec<OutgoingMessage> {
        let id = VmId::from(from);
        self.hear_from(now, id, message);
        let me = VmId::from(&self.me);
        let answer = self.message(MessageKind::Ack, message.seq, me, Some(id));
        vec![OutgoingMessage {
            to: from.clone(),
            message: answer,
        }]
    }

    fn acked(&mut self, now: Duration, message: &Message) -> Vec<OutgoingMessage> {
        let target = VmId(message.target);
        self.hear_from(now, target, message);
        if let Some(probe) = self.probe
            && (probe.target, probe.seq) == (target, message.seq)
        {
            self.probe = None;
            self.unanswered = 0;
            self.patience = self.patience.saturating_sub(1);
        }
        let Some(relayed) = self.relayed.remove(&message.seq) else {
            return Vec::new();
        };
        let passed_on = Message {
            seq: relayed.seq,
            updates: Vec::new(),
            ..message.clone()
        };
        vec![OutgoingMessage {
            to: relayed.for_vm,
            message: passed_on,
        }]
    }

    fn probe_for(
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
        let relayed = Relayed {
            for_vm: from.clone(),
            seq: message.seq,
            sent: now,
        };
        self.relayed.insert(seq, relayed);
        vec![OutgoingMessage {
            to,
            message: self.message(MessageKind::Probe, seq, target, Some(target)),
        }]
    }

    /// Takes in what a process says of itself by sending a message.
    fn hear_from(&mut self, now: Duration, id: VmId, message: &Message) {
        let state = UpdateState::Alive.into();
        let update = Update {
            vm: id.0,
            run: message.run,
            counter: message.counter,
            state,
        };
        let known_as = self.members.get(&id).map(Member::state);
        let changed = self.learn(now, &update, true);
        let refuted = known_as.is_some_and(|s| s != UpdateState::Alive);
        if changed && refuted {
            counter!("oriole_member_returned_total").increment(1);
        }
    }

    fn learn(&mut self, now: Duration, update: &Update, direct: bool) -> bool {
        let id = VmId(update.vm);
        if id == VmId::from(&self.me) {
            self.refute(update);
            return false;
        }
        let Some(member) = self.members.get_mut(&id) else {
            return false;
        };
        let first_contact = direct && member.news().run == 0;
        let changed = member.apply(now, update, direct, &self.cfg);
        if changed && !first_contact {
            self.spread(*update);
        }
        changed
    }

    /// Contradicts news that this process is not alive.
    fn refute(&mut self, update: &Update) {
        let about_me = update.run == self.run || update.run == 0;
        let grave = update.state == i32::from(UpdateState::Suspect)
            || update.state == i32::from(UpdateState::Dead);
        if !grave || !about_me || update.counter < self.counter {
            return;
        }
        self.counter = update.counter + 1;
        counter!("oriole_member_refuted_total").increment(1);
        self.spread(self.own_news());
    }

    fn own_news(&self) -> Update {
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

    fn spread(&mut self, update: Update) {
        self.news.retain(|n| n.update.vm != update.vm);
        let size = (self.members.len() + 2) as f64;
        let left = (self.cfg.update_retransmit_factor * size.log2()).ceil() as u32;
        self.news.push_front(News { update, left });
    }

    /// A message with the news that were sent least. The receiver learns what is said of it, so
    /// that it can refute.
    fn message(&mut self, kind: MessageKind, seq: u32, target: VmId, to: Option<VmId>) -> Message {
        let about_receiver = to
            .and_then(|id| self.members.get(&id))
            .filter(|m| m.state() != UpdateState::Alive)
            .map(Member::news);
        let mut updates: Vec<Update> = about_receiver.into_iter().collect();
        let room = self.cfg.updates_per_message.saturating_sub(updates.len());
        for mut news in self
            .news
            .drain(..room.min(self.news.len()))
            .collect::<Vec<_>>()
        {
            updates.push(news.update);
            news.left -= 1;
            if news.left > 0 {
                self.news.push_back(news);
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

    fn patient(&self, timeout: Duration) -> Duration {
        timeout * (2 + self.patience) / 2
    }
}
