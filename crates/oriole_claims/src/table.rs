//! The records that a home keeps of its keys.
//!
//! The table is complete for every key bound to this incarnation: a record is created before the
//! claim is sent to the store, or before a ticket's run starts, and is kept until the key is past
//! its retention. A bound key without a record therefore never starts a run.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use oriole_types::digest::Digest;
use oriole_types::outcome::UnknownReason;

use crate::key::ClaimKey;
use crate::request::CallId;

/// Least number of creation times of removed records for which a sweep is worthwhile.
const COMPACT_MIN_STALE: usize = 1024;

/// State of a key at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The claim is not yet known to be durable; no run has started.
    Claiming,
    /// The key is bound to this incarnation. No run has started, or none has reached the upstream.
    Bound,
    /// A run is in progress.
    Running,
    /// The run ended with this answer.
    Done(Bytes),
    /// The run's answer is unknown or no longer kept.
    Unknown(UnknownReason),
}

/// The record of one key.
#[derive(Clone, Debug)]
pub struct Record {
    /// Digest of entry name and body of the first request.
    pub content: Digest,
    /// State of the key.
    pub phase: Phase,
    /// Calls that wait for the outcome, in order of arrival.
    pub waiting: VecDeque<CallId>,
    /// Start of the retention; moved forward if the record cannot be dropped when it ends.
    created: Duration,
}

/// Records by key, and the answers kept in them.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<ClaimKey, Record>,
    /// Creation time of every record, oldest first; also of some removed ones.
    creations: VecDeque<(Duration, ClaimKey)>,
    /// Key and length in bytes of every kept answer, oldest first.
    answers: VecDeque<(ClaimKey, usize)>,
    /// Sum of the lengths in `answers`.
    answer_bytes: usize,
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

    /// The record of a key, mutably.
    pub fn get_mut(&mut self, key: ClaimKey) -> Option<&mut Record> {
        self.records.get_mut(&key)
    }

    /// Creates the record of a key that has none.
    pub fn insert(&mut self, now: Duration, key: ClaimKey, content: Digest, phase: Phase) {
        let record = Record {
            content,
            phase,
            waiting: VecDeque::new(),
            created: now,
        };
        self.records.insert(key, record);
        self.creations.push_back((now, key));
        self.compact();
    }

    /// Removes a record whose key is not bound to this incarnation.
    pub fn remove(&mut self, key: ClaimKey) -> Option<Record> {
        self.records.remove(&key)
    }

    /// Stores the answer of a run. One larger than `max_bytes` is not kept; older answers are
    /// dropped while all together exceed `max_total_bytes`.
    pub fn keep_answer(
        &mut self,
        key: ClaimKey,
        answer: Bytes,
        max_bytes: usize,
        max_total_bytes: usize,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if answer.len() > max_bytes {
            record.phase = Phase::Unknown(UnknownReason::AnswerLost);
            return;
        }
        // Copied because a slice of a larger buffer would keep the whole buffer in memory.
        let answer = Bytes::copy_from_slice(&answer);
        self.answer_bytes += answer.len();
        self.answers.push_back((key, answer.len()));
        record.phase = Phase::Done(answer);
        while self.answer_bytes > max_total_bytes {
            self.drop_oldest_answer();
        }
    }

    /// Drops records older than `retention`, except for those with a waiting call or a run in
    /// progress.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        while let Some(&(created, key)) = self.creations.front()
            && created + retention < now
        {
            self.creations.pop_front();
            match self.records.get_mut(&key) {
                Some(r) if r.created != created => {}
                Some(r) if !r.waiting.is_empty() || r.phase == Phase::Running => {
                    r.created = now;
                    self.creations.push_back((now, key));
                }
                _ => self.drop_record(key),
            }
        }
    }

    /// Removes the creation times of removed records once they outnumber the records.
    fn compact(&mut self) {
        if self.creations.len() < 2 * self.records.len() + COMPACT_MIN_STALE {
            return;
        }
        let records = &self.records;
        self.creations
            .retain(|(at, key)| records.get(key).is_some_and(|r| r.created == *at));
    }

    fn drop_record(&mut self, key: ClaimKey) {
        self.records.remove(&key);
        while self
            .answers
            .front()
            .is_some_and(|(key, _)| !self.records.contains_key(key))
        {
            self.drop_oldest_answer();
        }
    }

    fn drop_oldest_answer(&mut self) {
        let Some((key, len)) = self.answers.pop_front() else {
            return;
        };
        self.answer_bytes -= len;
        if let Some(record) = self.records.get_mut(&key) {
            record.phase = Phase::Unknown(UnknownReason::AnswerLost);
        }
    }
}
