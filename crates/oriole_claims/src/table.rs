//! What one incarnation remembers of its claims.
//!
//! The table is complete for every key bound to this incarnation: a record exists from before the
//! claim is sent to the store, or before a ticket's run starts, until the key is past its
//! retention. A bound key without a record therefore never starts a run.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use oriole_types::digest::Digest;
use oriole_types::outcome::UnknownReason;

use crate::key::ClaimKey;
use crate::request::CallId;

/// Creation times of removed records that are let stand before they are swept.
const COMPACT_SLACK: usize = 1024;

/// How far a key has come at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The claim is not known to be durable; no run has started.
    Claiming,
    /// The key is bound to this incarnation; no run has started, or the last one reached nothing.
    Held,
    /// A run is on its way.
    Running,
    /// The run ended with this answer.
    Done(Bytes),
    /// The run's answer is not known or no longer kept.
    Lost(UnknownReason),
}

/// What is remembered of one key.
#[derive(Clone, Debug)]
pub struct Record {
    /// Digest of the first request's entry and body.
    pub content: Digest,
    /// How far the key has come.
    pub phase: Phase,
    /// Requests that wait, in order of arrival.
    pub waiting: VecDeque<CallId>,
    /// Time from which the retention counts.
    created: Duration,
}

/// Records by key, with bounds on their number and on the bytes of kept answers.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<ClaimKey, Record>,
    created: VecDeque<(Duration, ClaimKey)>,
    done: VecDeque<(ClaimKey, usize)>,
    total_answer_bytes: usize,
}

impl Table {
    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of a key.
    #[must_use]
    pub fn get(&self, key: ClaimKey) -> Option<&Record> {
        self.records.get(&key)
    }

    /// The record of a key, to change.
    pub fn get_mut(&mut self, key: ClaimKey) -> Option<&mut Record> {
        self.records.get_mut(&key)
    }

    /// Creates a record, of which there must be none.
    pub fn insert(&mut self, now: Duration, key: ClaimKey, content: Digest, phase: Phase) {
        let record = Record {
            content,
            phase,
            waiting: VecDeque::new(),
            created: now,
        };
        self.records.insert(key, record);
        self.created.push_back((now, key));
        self.compact();
    }

    /// Removes a record whose key is not bound to this incarnation.
    pub fn remove(&mut self, key: ClaimKey) -> Option<Record> {
        self.records.remove(&key)
    }

    /// Keeps the answer of a run within bounds on one answer and on all.
    pub fn keep_answer(&mut self, key: ClaimKey, answer: Bytes, one: usize, all: usize) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if answer.len() > one {
            record.phase = Phase::Lost(UnknownReason::AnswerLost);
            return;
        }
        // An answer that is a view into a larger buffer would keep the whole buffer alive.
        let answer = Bytes::copy_from_slice(&answer);
        self.total_answer_bytes += answer.len();
        self.done.push_back((key, answer.len()));
        record.phase = Phase::Done(answer);
        while self.total_answer_bytes > all {
            self.forget_oldest_answer();
        }
    }

    /// Drops what is older than `retention`, except for records that a request waits for or that
    /// run.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        while let Some(&(created, key)) = self.created.front()
            && created + retention < now
        {
            self.created.pop_front();
            match self.records.get_mut(&key) {
                Some(r) if r.created != created => {}
                Some(r) if !r.waiting.is_empty() || r.phase == Phase::Running => {
                    r.created = now;
                    self.created.push_back((now, key));
                }
                _ => self.drop_record(key),
            }
        }
    }

    /// Forgets creation times of records that are gone once they outnumber the records.
    fn compact(&mut self) {
        if self.created.len() < 2 * self.records.len() + COMPACT_SLACK {
            return;
        }
        let records = &self.records;
        self.created
            .retain(|(at, key)| records.get(key).is_some_and(|r| r.created == *at));
    }

    fn drop_record(&mut self, key: ClaimKey) {
        self.records.remove(&key);
        while self
            .done
            .front()
            .is_some_and(|(key, _)| !self.records.contains_key(key))
        {
            self.forget_oldest_answer();
        }
    }

    fn forget_oldest_answer(&mut self) {
        let Some((key, len)) = self.done.pop_front() else {
            return;
        };
        self.total_answer_bytes -= len;
        if let Some(record) = self.records.get_mut(&key) {
            record.phase = Phase::Lost(UnknownReason::AnswerLost);
        }
    }
}
