//! Ledger of crashes by content, kept by every agent and entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use metrics::counter;
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;
use oriole_types::value_type;

use super::home::{home_of_suspect, homes};
use super::record::{Crash, CrashId, CrashReport, PoisonDigest, PoisonRecord};

/// Crashes after which a content is quarantined if one of them was in its solo run.
const SOLO_QUARANTINE_CRASHES: usize = 2;
/// Crashes after which a content is quarantined in any case, so that none causes more.
const QUARANTINE_CRASHES: usize = 3;
/// Time after which a crash is forgotten.
const CRASH_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time between two removals of expired crashes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of contents in a ledger; beyond it the content whose last crash is the oldest is
/// removed.
const MAX_RECORDS: usize = 2048;
/// Maximum number of crashes kept for one content.
const MAX_CRASHES_PER_RECORD: usize = 8;
/// Maximum number of contents known to have completed; beyond it the one added first is removed.
const MAX_PROVEN: usize = 4096;
/// Maximum number of records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 64;

value_type! {
    /// What is known about a content, and therefore where it may run.
    pub enum ContentStatus {
        /// It has completed before; it may run at every upstream.
        Proven,
        /// Nothing is known about it; it may run at its homes.
        Unproven,
        /// An upstream crashed while it ran, or an operator released it from quarantine; it may run
        /// only alone, at its first home.
        Suspect,
        /// It crashes upstreams; it may not run.
        Quarantined,
    }
}

/// Upstreams at which a content may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowedUpstreams<'a> {
    /// All upstreams of its pool.
    Any,
    /// Only these, best first; empty if the content is quarantined.
    Only(Vec<&'a VmName>),
}

/// Crashes by content. Ledgers merge by union, in any order and any number of times.
#[derive(Clone, Debug, Default)]
pub struct PoisonLedger {
    records: BTreeMap<Digest, Record>,
    released: BTreeSet<Digest>,
    proven: BTreeSet<Digest>,
    /// Proven contents in the order in which they were added.
    proven_order: VecDeque<Digest>,
    /// Number of changes so far.
    version: u64,
    next_sweep_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: BTreeMap<CrashId, Crash>,
    /// Version of the ledger at the record's last change.
    changed_in: u64,
}

impl PoisonLedger {
    /// Status of a content.
    #[must_use]
    pub fn status(&self, content: &Digest) -> ContentStatus {
        let status = self
            .records
            .get(content)
            .map_or(ContentStatus::Unproven, Record::status);
        match status {
            ContentStatus::Quarantined if self.released.contains(content) => ContentStatus::Suspect,
            ContentStatus::Unproven if self.proven.contains(content) => ContentStatus::Proven,
            status => status,
        }
    }

    /// The upstreams at which a content may run, among those of its pool as this process sees them.
    /// An entry must not send it to others.
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

    /// Records that an upstream crashed while it ran `contents`. `solo` means that the only content
    /// was a suspect that ran alone on purpose. Contents that have completed before do not become
    /// suspect.
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
        self.evict_oldest();
    }

    /// Records that a content completed. If it was a suspect that ran alone, its crashes are excused.
    pub fn record_completion(&mut self, content: &Digest, solo: bool) {
        if solo {
            self.excuse_crashes(content);
        }
        let not_suspected = !matches!(
            self.status(content),
            ContentStatus::Suspect | ContentStatus::Quarantined
        );
        if not_suspected && self.proven.insert(*content) {
            self.proven_order.push_back(*content);
        }
        while self.proven_order.len() > MAX_PROVEN {
            let oldest = self.proven_order.pop_front();
            oldest.map(|d| self.proven.remove(&d));
        }
    }

    /// Sets the contents that operators released from quarantine: they may run again, but only alone.
    pub fn set_released<'a>(&mut self, released: impl IntoIterator<Item = &'a Digest>) {
        self.released = released.into_iter().copied().collect();
    }

    /// Merges records of another process; returns whether anything was new.
    pub fn merge(&mut self, now: Duration, digest: &PoisonDigest) -> bool {
        let before = self.version;
        for record in &digest.records {
            for report in &record.crashes {
                self.merge_report(now, record.content, report);
            }
        }
        self.evict_oldest();
        self.version != before
    }

    /// Version of the ledger, which grows with each change. A sender remembers the version that it
    /// last sent to each peer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that changed after a version, newest change first and bounded in number, with the
    /// version up to which the receiver will then know everything.
    #[must_use]
    pub fn digest_since(&self, now: Duration, version: u64) -> (PoisonDigest, u64) {
        let mut changed: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| r.changed_in > version)
            .collect();
        // The oldest changes are sent first, so that a truncated message leaves no gap before the
        // returned version.
        changed.sort_by_key(|(_, r)| r.changed_in);
        changed.truncate(MAX_RECORDS_PER_MESSAGE);
        let up_to = changed.last().map_or(self.version, |(_, r)| r.changed_in);
        let records = changed
            .into_iter()
            .rev()
            .map(|(content, r)| r.to_message(*content, now))
            .collect();
        (PoisonDigest { records }, up_to)
    }

    /// Contents in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &Digest> {
        let is_quarantined = |d: &&Digest| self.status(d) == ContentStatus::Quarantined;
        self.records.keys().filter(is_quarantined)
    }

    /// Removes expired crashes; cheap to call often.
    pub fn tick(&mut self, now: Duration) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL;
        for record in self.records.values_mut() {
            record
                .crashes
                .retain(|_, c| now.saturating_sub(c.at) < CRASH_RETENTION);
        }
        self.records.retain(|_, r| !r.crashes.is_empty());
    }

    fn merge_report(&mut self, now: Duration, content: Digest, report: &CrashReport) {
        let age = Duration::from_millis(report.age_ms);
        if age >= CRASH_RETENTION {
            return;
        }
        let crash = Crash {
            at: now.saturating_sub(age),
            solo: report.solo,
            excused: report.excused,
        };
        self.insert(content, report.id.clone(), crash);
    }

    fn insert(&mut self, content: Digest, id: CrashId, crash: Crash) {
        let before = self.status(&content);
        let next_version = self.version + 1;
        let record = self.records.entry(content).or_default();
        if !record.insert(id, crash) {
            return;
        }
        record.changed_in = next_version;
        self.version = next_version;
        let after = self.status(&content);
        if before != after && after == ContentStatus::Quarantined {
            counter!("oriole_poison_quarantined_total").increment(1);
        }
    }

    fn excuse_crashes(&mut self, content: &Digest) {
        let next_version = self.version + 1;
        let Some(record) = self.records.get_mut(content) else {
            return;
        };
        for crash in record.crashes.values_mut() {
            crash.excused = true;
        }
        record.changed_in = next_version;
        self.version = next_version;
    }

    /// Removes records beyond the maximum, those with the oldest last crash first.
    fn evict_oldest(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.newest_crash_at());
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.records.remove(&content);
        }
    }
}

impl Record {
    fn status(&self) -> ContentStatus {
        let counted = || self.crashes.values().filter(|c| !c.excused);
        let crashes = counted().count();
        let any_solo = counted().any(|c| c.solo);
        let quarantined =
            crashes >= QUARANTINE_CRASHES || (crashes >= SOLO_QUARANTINE_CRASHES && any_solo);
        match crashes {
            0 => ContentStatus::Unproven,
            _ if quarantined => ContentStatus::Quarantined,
            _ => ContentStatus::Suspect,
        }
    }

    /// Inserts or merges a crash; returns whether anything changed.
    fn insert(&mut self, id: CrashId, crash: Crash) -> bool {
        let full = self.crashes.len() >= MAX_CRASHES_PER_RECORD;
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

    fn newest_crash_at(&self) -> Option<Duration> {
        self.crashes.values().map(|c| c.at).max()
    }

    fn to_message(&self, content: Digest, now: Duration) -> PoisonRecord {
        let crashes = self
            .crashes
            .iter()
            .map(|(id, c)| c.report(id, now))
            .collect();
        PoisonRecord { content, crashes }
    }
}
