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
/// Fewest rounds of a content that explain its crashes for what ran beside it.
const MIN_EXPLAINING_ROUNDS: usize = 2;
/// Fewest crashes of a content that explain them for whole requests that ran beside it.
const MIN_EXPLAINING_CRASHES: usize = 2;
/// Length of a round of crashes; shorter than the first delay of a trial, which starts another.
const ROUND_LENGTH: Duration = Duration::from_secs(3);
/// Index in [`TRIAL_DELAYS`] of the first delay of content that never passed.
const NEW_CONTENT_STEP: usize = 2;
/// Time between two crashes within which they probably have the same cause.
const SAME_CAUSE_WINDOW: Duration = Duration::from_secs(1);
/// Times after a crash from which its suspect may be tried again, by the number of rounds in which
/// it leads; content that never passed starts at [`NEW_CONTENT_STEP`]. The first is about the time
/// that a crashed upstream needs to return, so that a second crash hits the group that had the first
/// one.
const TRIAL_DELAYS: [Duration; 6] = [
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(30),
    Duration::from_secs(120),
    Duration::from_secs(480),
    Duration::from_secs(3600),
];

/// Times after a crash from which a whole request may be tried again, by the number of its crashes.
/// A single crash often has another cause.
const NEW_REQUEST_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_secs(30)];
/// The same for a request that upstreams have lived with: a popular one runs in most crashes of other
/// causes, and a broken link looks like a crash.
const KNOWN_REQUEST_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(30),
    Duration::from_secs(120),
];

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

/// What the crashes of a whole request say about it: those that are not excused and that no content
/// with more crashes explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentSuspicion {
    /// Number of crashes.
    pub crashes: usize,
    /// Time of the newest crash.
    pub newest_at: Duration,
    /// Upstream that had the newest crash.
    pub newest_vm: VmName,
}

impl ContentSuspicion {
    /// Time after the newest crash from which the request may be tried again. `has_passed` tells
    /// whether upstreams are known to have lived with it earlier. After the last delay it waits until
    /// its crashes are forgotten.
    #[must_use]
    pub fn trial_delay(&self, has_passed: bool) -> Duration {
        let delays: &[Duration] = if has_passed {
            &KNOWN_REQUEST_DELAYS
        } else {
            &NEW_REQUEST_DELAYS
        };
        let delay = delays.get(self.crashes.saturating_sub(1));
        delay.copied().unwrap_or(CRASH_RETENTION)
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

/// What the crashes of a content say about it. Only those count that are not excused and that no
/// other content explains. Crashes in quick succession form one round, since what caused the first
/// may have been under way at several upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of rounds in which no other content is suspected of as many.
    pub leading_rounds: usize,
    /// Time of the newest crash.
    pub newest_at: Duration,
    /// Upstream that had the newest crash.
    pub newest_vm: VmName,
    /// Whether other upstreams crashed at about the same time without the content, which points to
    /// another cause.
    pub is_among_others: bool,
}

impl Suspicion {
    /// Time after the newest crash from which the content may be tried again. `has_passed` tells
    /// whether upstreams are known to have lived with it earlier.
    #[must_use]
    pub fn trial_delay(&self, has_passed: bool) -> Duration {
        let is_new = !has_passed && !self.is_among_others;
        let first = if is_new { NEW_CONTENT_STEP } else { 0 };
        let step = first + self.leading_rounds.max(1) - 1;
        TRIAL_DELAYS[step.min(TRIAL_DELAYS.len() - 1)]
    }
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
            self.excuse_crashes(content, Duration::MAX);
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

    /// Records that an upstream got past the point at which `content` would have crashed it, in a
    /// run that reached that point at `passed_at`. Earlier crashes are excused. Returns whether any
    /// was.
    pub fn record_passed(&mut self, content: &Digest, passed_at: Duration) -> bool {
        self.excuse_crashes(content, passed_at)
    }

    /// What the crashes of a content say about it; `None` if it has none that count.
    ///
    /// Content that ran in several rounds of crashes explains them: what ran beside it in fewer is
    /// not suspected of those. Nor is a part of those that a whole request in `requests` explains.
    #[must_use]
    pub fn suspicion(&self, content: &Digest, requests: &Self) -> Option<Suspicion> {
        let record = self.records.get(content)?;
        let own = record.rounds();
        let unexplained = record.counted().filter_map(|(id, crash)| {
            let beside = self.most_rounds_beside(content, id);
            let is_explained = beside > own && beside >= MIN_EXPLAINING_ROUNDS;
            (!is_explained && !requests.explains(id)).then_some((id, crash.at, beside < own))
        });
        let unexplained: Vec<(&CrashId, Duration, bool)> = unexplained.collect();
        let (newest, newest_at, _) = *unexplained.iter().max_by_key(|(_, at, _)| *at)?;
        let leading = unexplained.iter().filter(|(_, _, is_leading)| *is_leading);
        Some(Suspicion {
            leading_rounds: count_rounds(leading.map(|(_, at, _)| *at)),
            newest_at,
            newest_vm: newest.vm.clone(),
            is_among_others: self.has_crash_without(record, newest_at),
        })
    }

    /// What the crashes of a whole request say about it; `None` if it has none that count.
    ///
    /// Unlike a part, a whole request is rarely under way twice at the same time, so each crash
    /// counts by itself and not by rounds.
    #[must_use]
    pub fn content_suspicion(&self, content: &Digest) -> Option<ContentSuspicion> {
        let record = self.records.get(content)?;
        let own = record.counted().count();
        let unexplained = record.counted().filter(|(id, _)| {
            let beside = self.most_crashes_beside(content, id);
            beside <= own || beside < MIN_EXPLAINING_CRASHES
        });
        let unexplained: Vec<(&CrashId, &Crash)> = unexplained.collect();
        let (newest, crash) = unexplained.iter().max_by_key(|(_, crash)| crash.at)?;
        Some(ContentSuspicion {
            crashes: unexplained.len(),
            newest_at: crash.at,
            newest_vm: newest.vm.clone(),
        })
    }

    /// Whether a whole request that ran in this crash has caused others too.
    fn explains(&self, id: &CrashId) -> bool {
        let ran = |r: &&Record| r.crashes.get(id).is_some_and(|c| !c.excused);
        let mut ran = self.records.values().filter(ran);
        ran.any(|r| r.counted().count() >= MIN_EXPLAINING_CRASHES)
    }

    /// Most crashes of any other content that ran in this crash.
    fn most_crashes_beside(&self, content: &Digest, id: &CrashId) -> usize {
        let beside = self.records_beside(content, id);
        beside.map(|r| r.counted().count()).max().unwrap_or(0)
    }

    /// Records of other contents that ran in this crash and are not excused for it.
    fn records_beside<'a>(
        &'a self,
        content: &'a Digest,
        id: &'a CrashId,
    ) -> impl Iterator<Item = &'a Record> {
        let beside = self.records.iter().filter(move |(other, record)| {
            *other != content && record.crashes.get(id).is_some_and(|c| !c.excused)
        });
        beside.map(|(_, record)| record)
    }

    /// Whether an upstream crashed at about this time without the content of `record`.
    fn has_crash_without(&self, record: &Record, at: Duration) -> bool {
        let mut crashes = self.records.values().flat_map(|other| &other.crashes);
        crashes.any(|(id, crash)| {
            crash.at.abs_diff(at) < SAME_CAUSE_WINDOW && !record.crashes.contains_key(id)
        })
    }

    /// Most rounds of any other content that ran in this crash.
    fn most_rounds_beside(&self, content: &Digest, id: &CrashId) -> usize {
        let beside = self.records_beside(content, id);
        beside.map(Record::rounds).max().unwrap_or(0)
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

    /// Records for a message without a fixed receiver: those that changed last, and some of the
    /// others in turn, so that every receiver gets all of them in the end. `turn` counts messages.
    #[must_use]
    pub fn digest_in_turn(&self, now: Duration, turn: u64, limit: usize) -> PoisonDigest {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, r)| std::cmp::Reverse(r.changed_in));
        let recent = records.len().min(limit.div_ceil(2));
        let others = records.split_off(recent);
        let start = (turn as usize * (limit - recent)) % others.len().max(1);
        let in_turn = others.iter().cycle().skip(start);
        records.extend(in_turn.take(others.len().min(limit - recent)));
        let records = records
            .into_iter()
            .map(|(content, r)| r.to_message(*content, now));
        PoisonDigest {
            records: records.collect(),
        }
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

    /// Excuses the crashes of a content before a time; returns whether any was.
    fn excuse_crashes(&mut self, content: &Digest, before: Duration) -> bool {
        let next_version = self.version + 1;
        let Some(record) = self.records.get_mut(content) else {
            return false;
        };
        let mut is_changed = false;
        for crash in record.crashes.values_mut() {
            if crash.at < before && !crash.excused {
                crash.excused = true;
                is_changed = true;
            }
        }
        if is_changed {
            record.changed_in = next_version;
            self.version = next_version;
        }
        is_changed
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

/// Number of rounds that crashes at these times form.
fn count_rounds(times: impl Iterator<Item = Duration>) -> usize {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let mut rounds = 0;
    let mut round_ends_at = Duration::ZERO;
    for at in times {
        if at >= round_ends_at {
            rounds += 1;
            round_ends_at = at + ROUND_LENGTH;
        }
    }
    rounds
}

impl Record {
    /// Crashes that are not excused.
    fn counted(&self) -> impl Iterator<Item = (&CrashId, &Crash)> {
        self.crashes.iter().filter(|(_, c)| !c.excused)
    }

    /// Number of rounds of crashes.
    fn rounds(&self) -> usize {
        count_rounds(self.counted().map(|(_, c)| c.at))
    }

    fn status(&self) -> ContentStatus {
        let crashes = self.counted().count();
        let any_solo = self.counted().any(|(_, c)| c.solo);
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
        if let Some(known) = self.crashes.get_mut(&id) {
            let excused = known.excused || crash.excused;
            return std::mem::replace(&mut known.excused, excused) != excused;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_RECORD && !self.make_room_for(&crash) {
            return false;
        }
        self.crashes.insert(id, crash);
        true
    }

    /// Drops a crash that says less than a new one: an excused one, else the oldest. Returns whether
    /// there is one.
    fn make_room_for(&mut self, crash: &Crash) -> bool {
        let least = self.crashes.iter().min_by_key(|(_, c)| (!c.excused, c.at));
        let Some((id, _)) = least.filter(|(_, c)| c.excused || c.at < crash.at) else {
            return false;
        };
        let id = id.clone();
        self.crashes.remove(&id);
        true
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
