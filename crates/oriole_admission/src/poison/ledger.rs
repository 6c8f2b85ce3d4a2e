//! The ledger of crashes by content, as every agent and entry holds it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use metrics::counter;
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;
use oriole_types::value_type;

use super::home::{home_of_suspect, homes};
use super::record::{Crash, CrashId, CrashReport, PoisonDigest, PoisonRecord};

/// Crashes that condemn a content if one of them was in its solo run.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Crashes that condemn a content whoever ran beside it: nobody may cause more.
const CRASHES_AT_MOST: usize = 3;
/// Time after which a crash is forgotten.
const CRASH_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time between two searches for crashes to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Contents a ledger keeps; beyond it the content with the oldest news is forgotten.
const MAX_RECORDS: usize = 2048;
/// Crashes kept of one content.
const MAX_CRASHES: usize = 8;
/// Contents known to have completed; beyond it the one completed longest ago is forgotten.
const MAX_PROVEN: usize = 4096;
/// Records in one message.
const MAX_RECORDS_SENT: usize = 64;

value_type! {
    /// How a content stands.
    pub enum ContentStatus {
        /// It has completed before, or an operator released it; it may run anywhere.
        Proven,
        /// Nothing is known of it; it may run at its homes.
        Unproven,
        /// An upstream crashed while it ran; it may run alone, at its first home.
        Suspect,
        /// It crashes upstreams; it may not run.
        Quarantined,
    }
}

/// Where a content may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedUpstreams<'a> {
    /// At every upstream of its pool.
    Any,
    /// At these, best first; at none if it is quarantined.
    Only(Vec<&'a VmName>),
}

/// Crashes by content. Two ledgers merge by union, in any order and any number of times.
#[derive(Clone, Debug, Default)]
pub struct PoisonLedger {
    records: BTreeMap<Digest, Record>,
    released: BTreeSet<Digest>,
    proven: BTreeSet<Digest>,
    proven_order: VecDeque<Digest>,
    version: u64,
    sweep_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: BTreeMap<CrashId, Crash>,
    /// Version of the ledger at the last change.
    changed: u64,
}

impl PoisonLedger {
    /// How a content stands.
    #[must_use]
    pub fn status(&self, content: &Digest) -> ContentStatus {
        let standing = self
            .records
            .get(content)
            .map_or(ContentStatus::Unproven, Record::status);
        match standing {
            ContentStatus::Quarantined if self.released.contains(content) => ContentStatus::Suspect,
            ContentStatus::Unproven if self.proven.contains(content) => ContentStatus::Proven,
            standing => standing,
        }
    }

    /// Where a content may run, among the upstreams of its pool as this process sees them. An entry
    /// sends it nowhere else.
    #[must_use]
    pub fn allowed_upstreams<'a>(
        &self,
        content: &Digest,
        upstreams: impl IntoIterator<Item = &'a VmName>,
    ) -> AllowedUpstreams<'a> {
        match self.status(content) {
            ContentStatus::Proven => AllowedUpstreams::Any,
            ContentStatus::Unproven => AllowedUpstreams::Only(homes(content, upstreams)),
            ContentStatus::Suspect => {
                let home = home_of_suspect(content, upstreams);
                AllowedUpstreams::Only(home.into_iter().collect())
            }
            ContentStatus::Quarantined => AllowedUpstreams::Only(Vec::new()),
        }
    }

    /// Notes that an upstream crashed while it ran some contents; `solo` says that the one content
    /// was a suspect that ran alone on purpose. Contents that have completed before are not
    /// suspected.
    pub fn record_crash(
        &mut self,
        now: Duration,
        id: &CrashId,
        contents: &BTreeSet<Digest>,
        solo: bool,
    ) {
        for content in contents {
            if self.status(content) == ContentStatus::Proven {
                continue;
            }
            let crash = Crash {
                at: now,
                solo,
                excused: false,
            };
            self.insert(*content, id.clone(), crash);
        }
        self.trim();
    }

    /// Notes that a content completed; if it had run alone it is cleared of its crashes.
    pub fn record_completion(&mut self, content: &Digest, alone: bool) {
        if alone {
            self.clear(content);
        }
        let spotless = !matches!(
            self.status(content),
            ContentStatus::Suspect | ContentStatus::Quarantined
        );
        if spotless && self.proven.insert(*content) {
            self.proven_order.push_back(*content);
        }
        while self.proven_order.len() > MAX_PROVEN {
            let oldest = self.proven_order.pop_front();
            oldest.map(|d| self.proven.remove(&d));
        }
    }

    /// Sets the contents that operators released: they are not refused, but run alone.
    pub fn set_released<'a>(&mut self, released: impl IntoIterator<Item = &'a Digest>) {
        self.released = released.into_iter().copied().collect();
    }

    /// Takes in what another process knows; returns whether anything was new.
    pub fn merge(&mut self, now: Duration, digest: &PoisonDigest) -> bool {
        let before = self.version;
        for record in &digest.records {
            for note in &record.crashes {
                self.merge_note(now, record.content, note);
            }
        }
        self.trim();
        self.version != before
    }

    /// Grows with each change; a sender remembers the version it last sent to a peer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What changed after a version, newest first and bounded in size, with the version up to which
    /// the receiver will know everything.
    #[must_use]
    pub fn digest_since(&self, now: Duration, version: u64) -> (PoisonDigest, u64) {
        let mut changed: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| r.changed > version)
            .collect();
        // Oldest changes go first, so that a bounded message leaves no gap behind its version.
        changed.sort_by_key(|(_, r)| r.changed);
        changed.truncate(MAX_RECORDS_SENT);
        let upto = changed.last().map_or(self.version, |(_, r)| r.changed);
        let records = changed
            .into_iter()
            .rev()
            .map(|(content, r)| r.to_message(*content, now))
            .collect();
        (PoisonDigest { records }, upto)
    }

    /// Contents that are refused.
    pub fn quarantined(&self) -> impl Iterator<Item = &Digest> {
        let refused = |d: &&Digest| self.status(d) == ContentStatus::Quarantined;
        self.records.keys().filter(refused)
    }

    /// Forgets crashes that are older than the retention; cheap to call often.
    pub fn tick(&mut self, now: Duration) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        for record in self.records.values_mut() {
            record
                .crashes
                .retain(|_, c| now.saturating_sub(c.at) < CRASH_RETENTION);
        }
        self.records.retain(|_, r| !r.crashes.is_empty());
    }

    fn merge_note(&mut self, now: Duration, content: Digest, note: &CrashReport) {
        let age = Duration::from_millis(note.age_ms);
        if age >= CRASH_RETENTION {
            return;
        }
        let crash = Crash {
            at: now.saturating_sub(age),
            solo: note.solo,
            excused: note.excused,
        };
        self.insert(content, note.id.clone(), crash);
    }

    fn insert(&mut self, content: Digest, id: CrashId, crash: Crash) {
        let was = self.status(&content);
        let next = self.version + 1;
        let record = self.records.entry(content).or_default();
        if !record.insert(id, crash) {
            return;
        }
        record.changed = next;
        self.version = next;
        let is = self.status(&content);
        if was != is && is == ContentStatus::Quarantined {
            counter!("oriole_poison_quarantined_total").increment(1);
        }
    }

    fn clear(&mut self, content: &Digest) {
        let next = self.version + 1;
        let Some(record) = self.records.get_mut(content) else {
            return;
        };
        for crash in record.crashes.values_mut() {
            crash.excused = true;
        }
        record.changed = next;
        self.version = next;
    }

    fn trim(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.newest());
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.records.remove(&content);
        }
    }
}

impl Record {
    fn status(&self) -> ContentStatus {
        let held = || self.crashes.values().filter(|c| !c.excused);
        let crashes = held().count();
        let was_solo = held().any(|c| c.solo);
        let condemned =
            crashes >= CRASHES_AT_MOST || (crashes >= CRASHES_TO_QUARANTINE && was_solo);
        match crashes {
            0 => ContentStatus::Unproven,
            _ if condemned => ContentStatus::Quarantined,
            _ => ContentStatus::Suspect,
        }
    }

    /// Inserts or merges a crash; returns whether anything changed.
    fn insert(&mut self, id: CrashId, crash: Crash) -> bool {
        let full = self.crashes.len() >= MAX_CRASHES;
        match self.crashes.get_mut(&id) {
            Some(known) => {
                let excused = known.excused || crash.excused;
                std::mem::replace(&mut known.excused, excused) != excused
            }
            None if full => false,
            None => {
                self.crashes.insert(id, crash);
                true
            }
        }
    }

    fn newest(&self) -> Option<Duration> {
        self.crashes.values().map(|c| c.at).max()
    }

    fn to_message(&self, content: Digest, now: Duration) -> PoisonRecord {
        let crashes = self.crashes.iter().map(|(id, c)| c.note(id, now)).collect();
        PoisonRecord { content, crashes }
    }
}
