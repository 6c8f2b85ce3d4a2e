//! What goes wrong: lost messages, faults of the store, dead and paused processes.

use bytes::Bytes;
use oriole_claims::home::{Event, Lane};
use oriole_claims::partition::{StoreCall, StoreEnd};
use oriole_claims::prelude::*;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};
use oriole_types::prelude::*;

use super::World;
use super::parts::{Agent, Broken, Msg, Sort};

impl World {
    pub fn fault(&mut self, n: usize, kind: u8) {
        let can_fail = |m: &Msg| match m {
            Msg::Request { .. } | Msg::Reply { .. } | Msg::Run { .. } => true,
            Msg::StoreReq { call, .. } => !matches!(call, StoreCall::Delete { .. }),
            Msg::StoreEnd { .. } | Msg::LateWrite(_) | Msg::RunEnd { .. } => false,
        };
        let targets = (0..self.net.len()).filter(|i| can_fail(&self.net[*i]));
        let targets: Vec<usize> = targets.collect();
        if targets.is_empty() {
            return;
        }
        let Some(msg) = self.take(targets[n % targets.len()]) else {
            return;
        };
        match msg {
            Msg::Request { ask, slot, recall } => {
                let unsent = kind.is_multiple_of(3);
                if kind % 3 == 2 {
                    self.net.push(Msg::Request { ask, slot, recall });
                }
                self.lose(ask, unsent);
            }
            Msg::Reply { ask, .. } => self.lose(ask, false),
            Msg::StoreReq { agent, lane, call } => self.fault_store(agent, lane, call, kind),
            Msg::Run { agent, ask, key } if self.alive(agent) => {
                let end = if kind.is_multiple_of(2) {
                    RunEnd::NotRun(RefusalReason::UpstreamUnreachable)
                } else {
                    self.run(ask);
                    RunEnd::Unknown(UnknownReason::UpstreamFailed)
                };
                self.net.push(Msg::RunEnd { agent, key, end });
            }
            other => self.net.push(other),
        }
    }

    /// Loses, in the way `kind` says, the first message on its way that is of some sort.
    pub fn fault_first(&mut self, sort: Sort, kind: u8) {
        let found = self.net.iter().position(|m| sort.covers(m));
        let Some(at) = found else {
            return self.fail(format!("no {sort:?} is on its way"));
        };
        let msg = self.net.remove(at);
        self.net.insert(0, msg);
        self.fault(0, kind);
    }

    pub(super) fn lose(&mut self, ask: usize, unsent: bool) {
        let call = self.asks[ask];
        if self.calls[call].ask != Some(ask) || self.calls[call].end.is_some() {
            return;
        }
        self.say(|| format!("call {call} hears nothing, unsent={unsent}"));
        self.calls[call].ask = None;
        if unsent || self.broken == Broken::LostAnswerIsFailure {
            self.calls[call].way.on_unsent();
        } else {
            self.calls[call].way.on_lost();
        }
        self.proceed(call);
    }

    pub(super) fn fault_store(
        &mut self,
        agent: (usize, u64),
        lane: Lane,
        call: StoreCall,
        kind: u8,
    ) {
        let ambiguous = !kind.is_multiple_of(4);
        match kind % 4 {
            1 => {
                self.apply(&call);
            }
            2 => self.net.push(Msg::LateWrite(call.clone())),
            _ => {}
        }
        let error = if ambiguous {
            StoreError::Ambiguous
        } else {
            StoreError::Unavailable
        };
        self.say(|| format!("vm-{} {lane:?}: {error}", agent.0));
        let end = match call {
            StoreCall::Read { .. } => StoreEnd::Read(Err(StoreError::Unavailable)),
            StoreCall::Delete { .. } => StoreEnd::Delete(Err(error)),
            StoreCall::Write { .. } if ambiguous && self.broken == Broken::LostWriteIsDone => {
                StoreEnd::Write(Ok(StoreVersion(self.version)))
            }
            StoreCall::Write { .. } if self.broken == Broken::LostWriteIsNotDone => {
                StoreEnd::Write(Err(StoreError::Unavailable))
            }
            StoreCall::Write { .. } => StoreEnd::Write(Err(error)),
        };
        self.net.push(Msg::StoreEnd { agent, lane, end });
    }

    pub(super) fn apply(&mut self, call: &StoreCall) -> StoreEnd {
        match call {
            StoreCall::Read { key } => {
                let mut found = self.store.get(key).cloned();
                let segment = !key.ends_with("head") && !key.ends_with("layout");
                if segment && self.broken == Broken::SegmentsIgnored {
                    found = found.map(|f| Versioned {
                        value: Bytes::new(),
                        ..f
                    });
                }
                StoreEnd::Read(Ok(found))
            }
            StoreCall::Delete { key } => {
                self.store.remove(key);
                StoreEnd::Delete(Ok(()))
            }
            StoreCall::Write { key, value, expect } => {
                StoreEnd::Write(self.write(key, value, *expect))
            }
        }
    }

    pub(super) fn write(
        &mut self,
        key: &str,
        value: &Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        let holds = match expect {
            Precondition::Absent => !self.store.contains_key(key),
            Precondition::Version(v) => self.store.get(key).is_some_and(|f| f.version == v),
            Precondition::Any => true,
        };
        let trusted = self.broken == Broken::LeaseOnly && key.ends_with("head");
        if !holds && !trusted {
            return Err(StoreError::Conflict);
        }
        self.version += 1;
        let version = StoreVersion(self.version);
        let value = value.clone();
        self.store
            .insert(key.to_owned(), Versioned { value, version });
        Ok(version)
    }

    /// The process of an agent is replaced. Its writes and runs under way take their course.
    pub fn kill(&mut self, slot: usize) {
        self.say(|| format!("vm-{slot} dies and is replaced"));
        let id = (slot, self.agents[slot].incarnation);
        self.replace(slot);
        self.net
            .retain(|m| !matches!(m, Msg::Run { agent, .. } if *agent == id));
    }

    /// The process of an agent is paused and taken for dead; it wakes after it was replaced.
    pub fn pause(&mut self, slot: usize) {
        self.say(|| format!("vm-{slot} is paused and replaced"));
        let id = (slot, self.agents[slot].incarnation);
        let paused = self.replace(slot);
        self.zombies.push((id, paused));
    }

    pub(super) fn replace(&mut self, slot: usize) -> Agent {
        let live = self.agents[slot].live.clone();
        let agent = self.agent(slot, live.clone());
        let old = std::mem::replace(&mut self.agents[slot], agent);
        self.event(slot, Event::Live(live));
        old
    }
}
