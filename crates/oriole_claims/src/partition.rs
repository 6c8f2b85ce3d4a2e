//! Ownership of a partition and the commits of its claims.
//!
//! Every change is one compare-and-swap of the partition's head. A home that lost the partition
//! finds out by a conflict; a write whose answer was lost is settled by reading the head again. At
//! most one store call is on its way per partition.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::{Expect, StoreVersion, Versioned};
use prost::Message;

use crate::config::{ClaimsConfig, millis};
use crate::key::ClaimKey;
use crate::request::HomeRef;
use crate::value::{Claim, Head, Segment, SegmentId, head_key, segment_key};

/// Longest list of store keys that wait to be removed; further ones are left behind.
const MAX_GARBAGE: usize = 1024;

/// Segment numbers past the last one a lost owner recorded that its successor removes.
const ORPHAN_SEGMENTS: u64 = 2;

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read a value.
    Read {
        /// Key in the store.
        key: String,
    },
    /// Swap a value.
    Write {
        /// Key in the store.
        key: String,
        /// New value.
        value: Bytes,
        /// What must be there.
        expect: Expect,
    },
    /// Remove a value.
    Delete {
        /// Key in the store.
        key: String,
    },
}

/// End of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEnd {
    /// Of a read.
    Read(Result<Option<Versioned>, StoreError>),
    /// Of a write.
    Write(Result<StoreVersion, StoreError>),
    /// Of a removal.
    Delete(Result<(), StoreError>),
}

/// What the partition's owner knows of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimed {
    /// First four bytes of the content digest.
    pub content: u32,
    /// The incarnation the key is bound to; `None` if the head no longer names it.
    pub home: Option<HomeRef>,
}

/// A claim that waits to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    /// The claim key.
    pub key: ClaimKey,
    /// First four bytes of the content digest.
    pub content: u32,
    /// Issue time of the key if it carries one, in Unix milliseconds.
    pub issued_ms: Option<u64>,
    /// Whether a commit of unknown end carried it. A durable claim of this home that no such commit
    /// carried is an older one, whose run may have started.
    pub carried: bool,
}

/// What became of claims, or of the whole partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The claims are durable and bound to this home.
    Durable(Vec<ClaimKey>),
    /// The home owns the partition and holds all its claims: pending keys can be looked up.
    Ready,
}

#[derive(Clone, Debug)]
enum State {
    /// The head must be read before anything else.
    Unread,
    /// Another home owns it, or none; the head as last read.
    Foreign(Option<(Head, StoreVersion)>),
    /// This home owns it and reads the segments that are left.
    Loading {
        head: Head,
        version: StoreVersion,
        left: VecDeque<SegmentId>,
    },
    /// This home owns it and its index is complete.
    Owned { head: Head, version: StoreVersion },
}

#[derive(Clone, Debug)]
enum Busy {
    ReadHead,
    Take(Head),
    Load(SegmentId),
    Commit(Vec<Pending>, Head),
    Roll(LoadedSegment),
    Delete(String),
}

/// What the owner remembers of a segment.
#[derive(Clone, Debug)]
struct LoadedSegment {
    id: SegmentId,
    newest_ms: u64,
    keys: Vec<ClaimKey>,
}

impl LoadedSegment {
    fn new(id: SegmentId, claims: &[Claim]) -> Self {
        let newest_ms = claims.iter().map(|c| c.stamp_ms).max();
        Self {
            id,
            newest_ms: newest_ms.unwrap_or_default(),
            keys: claims.iter().filter_map(Claim::claim_key).collect(),
        }
    }
}

impl Pending {
    fn to_claim(self, epoch: u64, wall_ms: u64) -> Claim {
        Claim {
            key: self.key.0.to_be_bytes().to_vec(),
            content: self.content,
            stamp_ms: self.issued_ms.unwrap_or(wall_ms),
            epoch,
        }
    }
}

/// Splits claims into those a head shows as made in some epoch, and the others.
fn split_durable(head: &Head, epoch: u64, claims: Vec<Pending>) -> (Vec<ClaimKey>, Vec<Pending>) {
    let made = head.claims.iter().filter(|c| c.epoch == epoch);
    let made: HashSet<ClaimKey> = made.filter_map(Claim::claim_key).collect();
    let (durable, open): (Vec<_>, Vec<_>) = claims
        .into_iter()
        .partition(|p| p.carried && made.contains(&p.key));
    (durable.into_iter().map(|p| p.key).collect(), open)
}

/// One partition as one home sees it.
#[derive(Debug)]
pub struct Partition {
    id: u32,
    home: HomeRef,
    state: State,
    busy: Option<Busy>,
    pending: VecDeque<Pending>,
    /// Claims of a commit whose end is not known.
    unsettled: Vec<Pending>,
    /// All durable claims of the partition, as claimed epoch and content; complete while owned.
    index: HashMap<ClaimKey, (u64, u32)>,
    segments: VecDeque<LoadedSegment>,
    indexed_epoch: u64,
    /// A segment that the next commit will name.
    rolled: Option<LoadedSegment>,
    /// Segments that only a write with no answer names.
    doubtful: Vec<LoadedSegment>,
    /// Version of the last head in force.
    version: StoreVersion,
    next_segment: u64,
    garbage: VecDeque<String>,
    next_call_at: Duration,
    next_commit_at: Duration,
    retry: Duration,
    wanted: bool,
}

impl Partition {
    /// A partition of which nothing is known.
    #[must_use]
    pub fn new(id: u32, home: HomeRef) -> Self {
        Self {
            id,
            home,
            state: State::Unread,
            busy: None,
            pending: VecDeque::new(),
            unsettled: Vec::new(),
            index: HashMap::new(),
            segments: VecDeque::new(),
            indexed_epoch: 0,
            rolled: None,
            doubtful: Vec::new(),
            version: StoreVersion::default(),
            next_segment: 0,
            garbage: VecDeque::new(),
            next_call_at: Duration::ZERO,
            next_commit_at: Duration::ZERO,
            retry: Duration::ZERO,
            wanted: false,
        }
    }

    /// Whether this home owns the partition, as far as it knows, and holds all its claims.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(self.state, State::Owned { .. })
    }

    /// The number of claims this home holds in memory for the partition.
    #[must_use]
    pub fn indexed(&self) -> usize {
        self.index.len()
    }

    /// What is durably known of a key; meaningful while the partition is ready.
    #[must_use]
    pub fn lookup(&self, key: ClaimKey) -> Option<Claimed> {
        let &(epoch, content) = self.index.get(&key)?;
        let head = self.head()?;
        let home = head.owner_of(epoch).map(crate::value::EpochOwner::home);
        Some(Claimed { content, home })
    }

    /// Unix time in milliseconds below which issued keys are refused for good.
    #[must_use]
    pub fn floor_ms(&self) -> u64 {
        self.head().map_or(0, |h| h.floor_ms)
    }

    /// Asks for ownership ahead of any claim.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// Adds a claim to commit.
    pub fn claim(&mut self, pending: Pending) {
        self.pending.push_back(pending);
    }

    /// Takes back a claim that no commit has carried; whether it was there.
    pub fn withdraw(&mut self, key: ClaimKey) -> bool {
        let before = self.pending.len();
        self.pending.retain(|p| p.key != key);
        self.pending.len() < before
    }

    /// Claims that wait to be committed and are on no commit.
    pub fn pending(&self) -> impl Iterator<Item = Pending> + '_ {
        self.pending.iter().copied()
    }

    /// Gives up all waiting claims, for a home that should not own the partition.
    pub fn give_up(&mut self) -> Vec<ClaimKey> {
        self.wanted = false;
        self.pending.drain(..).map(|p| p.key).collect()
    }

    /// When the partition next has a call to make, if nothing else happens.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        if self.busy.is_some() || !self.has_work() {
            return None;
        }
        let commits_only = self.is_ready() && self.garbage.is_empty();
        let at = if commits_only {
            self.next_call_at.max(self.next_commit_at)
        } else {
            self.next_call_at
        };
        Some(at)
    }

    /// The next call to the store, if one is due.
    pub fn poll(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<StoreCall> {
        if self.busy.is_some() || now < self.next_call_at || !self.has_work() {
            return None;
        }
        let (busy, call) = match &self.state {
            State::Unread => self.read_head(cfg),
            State::Foreign(found) => self.take(found.as_ref(), cfg),
            State::Loading { left, .. } => self.load(*left.front()?, cfg),
            State::Owned { .. } => self.next_owned(now, cfg, interval)?,
        };
        self.busy = Some(busy);
        Some(call)
    }

    /// The end of the call on its way.
    pub fn on_store(
        &mut self,
        now: Duration,
        end: StoreEnd,
        cfg: &ClaimsConfig,
        jitter: f64,
    ) -> Vec<Notice> {
        let Some(busy) = self.busy.take() else {
            return Vec::new();
        };
        self.pace(now, &end, cfg, jitter);
        match (busy, end) {
            (Busy::ReadHead, StoreEnd::Read(Ok(found))) => self.on_head(now, found, cfg),
            (Busy::Load(id), StoreEnd::Read(Ok(found))) => self.on_segment(now, id, found, cfg),
            (Busy::Take(head), StoreEnd::Write(Ok(version))) => {
                self.on_own_head(head, version, cfg)
            }
            (Busy::Take(_), _) => self.unread(),
            (Busy::Commit(claims, head), StoreEnd::Write(end)) => {
                self.on_commit(claims, head, end, cfg)
            }
            (Busy::Roll(rolled), StoreEnd::Write(end)) => self.on_rolled(rolled, &end, cfg),
            (Busy::Delete(key), StoreEnd::Delete(Err(_))) => self.keep_garbage(key),
            _ => Vec::new(),
        }
    }

    fn head(&self) -> Option<&Head> {
        match &self.state {
            State::Loading { head, .. } | State::Owned { head, .. } => Some(head),
            State::Unread | State::Foreign(_) => None,
        }
    }

    fn has_work(&self) -> bool {
        let owed = !self.pending.is_empty() || !self.unsettled.is_empty();
        match self.state {
            State::Owned { .. } => owed || !self.garbage.is_empty(),
            _ => owed || self.wanted,
        }
    }

    fn read_head(&self, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let key = head_key(&cfg.pool, self.id);
        (Busy::ReadHead, StoreCall::Read { key })
    }

    fn take(&self, found: Option<&(Head, StoreVersion)>, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let empty = Head::default();
        let (head, expect) = match found {
            Some((head, version)) => (head, Expect::Version(*version)),
            None => (&empty, Expect::Absent),
        };
        let head = head.taken_by(&self.home);
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            expect,
        };
        (Busy::Take(head), call)
    }

    fn load(&self, id: SegmentId, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let key = segment_key(&cfg.pool, self.id, id);
        (Busy::Load(id), StoreCall::Read { key })
    }

    fn next_owned(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<(Busy, StoreCall)> {
        if self.pending.is_empty() || now < self.next_commit_at {
            return self.collect_garbage();
        }
        let State::Owned { head, version } = &self.state else {
            return None;
        };
        let (head, expect) = (head.clone(), Expect::Version(*version));
        if self.rolled.is_none() && head.encoded_len() > cfg.limits.segment_bytes {
            return Some(self.roll(head, cfg));
        }
        self.next_commit_at = now + interval;
        Some(self.commit(now, head, expect, cfg))
    }

    /// Writes the open claims as a segment. Each try has a name of its own, so that a late write of
    /// an earlier try cannot change what the head will name.
    fn roll(&mut self, head: Head, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let id = SegmentId {
            epoch: head.epoch(),
            number: self.next_segment,
        };
        self.next_segment += 1;
        let rolled = LoadedSegment::new(id, &head.claims);
        let call = StoreCall::Write {
            key: segment_key(&cfg.pool, self.id, id),
            value: Segment {
                claims: head.claims,
            }
            .encode_to_vec()
            .into(),
            expect: Expect::Absent,
        };
        (Busy::Roll(rolled), call)
    }

    fn commit(
        &mut self,
        now: Duration,
        mut head: Head,
        expect: Expect,
        cfg: &ClaimsConfig,
    ) -> (Busy, StoreCall) {
        let wall_ms = cfg.wall_ms(now);
        if let Some(segment) = &self.rolled {
            head.push_segment(segment.id);
            head.claims.clear();
        }
        self.trim(&mut head, wall_ms, cfg);
        head.next_segment = self.next_segment;
        let count = self.pending.len().min(cfg.limits.commit_claims);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let epoch = head.epoch();
        head.claims
            .extend(batch.iter().map(|p| p.to_claim(epoch, wall_ms)));
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            expect,
        };
        (Busy::Commit(batch, head), call)
    }

    /// Drops segments whose claims are all past the retention, and raises the floor above them.
    fn trim(&self, head: &mut Head, wall_ms: u64, cfg: &ClaimsConfig) {
        let horizon = millis(cfg.limits.retention + cfg.limits.issue_ahead);
        let excess = self
            .segments
            .len()
            .saturating_sub(cfg.limits.spare_segments);
        for segment in self.segments.iter().take(excess) {
            if segment.newest_ms + horizon >= wall_ms {
                return;
            }
            head.floor_ms = head.floor_ms.max(segment.newest_ms + 1);
            head.pop_segment();
        }
    }

    fn collect_garbage(&mut self) -> Option<(Busy, StoreCall)> {
        let key = self.garbage.pop_front()?;
        Some((Busy::Delete(key.clone()), StoreCall::Delete { key }))
    }

    fn keep_garbage(&mut self, key: String) -> Vec<Notice> {
        if !matches!(self.state, State::Foreign(_)) {
            self.garbage.push_back(key);
        }
        Vec::new()
    }

    fn pace(&mut self, now: Duration, end: &StoreEnd, cfg: &ClaimsConfig, jitter: f64) {
        let failed = match end {
            StoreEnd::Read(end) => end.is_err(),
            StoreEnd::Write(end) => {
                matches!(end, Err(e) if *e != StoreError::Conflict)
            }
            StoreEnd::Delete(end) => end.is_err(),
        };
        if !failed {
            self.retry = Duration::ZERO;
            return;
        }
        let limits = &cfg.limits;
        self.retry = (self.retry * 2).clamp(limits.retry_min, limits.retry_max);
        self.next_call_at = now + self.retry.mul_f64(0.5 + jitter / 2.0);
    }

    fn unread(&mut self) -> Vec<Notice> {
        self.state = State::Unread;
        Vec::new()
    }

    fn on_head(
        &mut self,
        now: Duration,
        found: Option<Versioned>,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        let Some(found) = found else {
            self.state = State::Foreign(None);
            return Vec::new();
        };
        // A head that cannot be read is never replaced; the read is repeated.
        let Ok(head) = Head::decode(found.value) else {
            self.next_call_at = now + cfg.limits.retry_max;
            return Vec::new();
        };
        if head.is_owned_by(&self.home) {
            return self.on_own_head(head, found.version, cfg);
        }
        self.on_foreign_head(now, head, found.version, cfg)
    }

    fn on_own_head(
        &mut self,
        head: Head,
        version: StoreVersion,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        if head.epoch() == self.indexed_epoch {
            return self.adopt(head, version, cfg);
        }
        self.index.clear();
        self.segments.clear();
        self.rolled = None;
        self.next_segment = 0;
        self.remove_orphans(&head, cfg);
        let left = head.segments();
        self.state = State::Loading {
            head,
            version,
            left,
        };
        self.finish_loading()
    }

    fn on_foreign_head(
        &mut self,
        now: Duration,
        head: Head,
        version: StoreVersion,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        let unsettled = std::mem::take(&mut self.unsettled);
        let was_owner = self.indexed_epoch != 0;
        let mut notices = Vec::new();
        if was_owner {
            self.next_call_at = now + cfg.limits.hold_off;
            let epoch = self.indexed_epoch;
            let (durable, open) = split_durable(&head, epoch, unsettled);
            // The others may be durable too if the new owner moved them into a segment. They wait
            // for the home to own the partition again, or to give up.
            self.put_back(open);
            notices.push(Notice::Durable(durable));
            self.forget();
        }
        self.state = State::Foreign(Some((head, version)));
        notices
    }

    fn forget(&mut self) {
        self.index = HashMap::new();
        self.segments = VecDeque::new();
        self.garbage = VecDeque::new();
        self.indexed_epoch = 0;
        self.rolled = None;
        self.doubtful = Vec::new();
    }

    /// The lost owner may have written segments that no head names.
    fn remove_orphans(&mut self, head: &Head, cfg: &ClaimsConfig) {
        let owners = head.owners.len();
        let Some(lost) = owners.checked_sub(2).map(|i| head.owners[i].epoch) else {
            return;
        };
        for number in head.next_segment..head.next_segment + ORPHAN_SEGMENTS {
            let id = SegmentId {
                epoch: lost,
                number,
            };
            self.discard(id, cfg);
        }
    }

    fn discard(&mut self, id: SegmentId, cfg: &ClaimsConfig) {
        if self.garbage.len() < MAX_GARBAGE {
            self.garbage.push_back(segment_key(&cfg.pool, self.id, id));
        }
    }

    fn on_segment(
        &mut self,
        now: Duration,
        id: SegmentId,
        found: Option<Versioned>,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        let segment = found.and_then(|f| Segment::decode(f.value).ok());
        // A named segment is only ever missing for a head that is no longer in force.
        let Some(segment) = segment else {
            self.next_call_at = now + cfg.limits.retry_max;
            return self.unread();
        };
        self.add_to_index(&segment.claims);
        self.segments
            .push_back(LoadedSegment::new(id, &segment.claims));
        if let State::Loading { left, .. } = &mut self.state {
            left.pop_front();
        }
        self.finish_loading()
    }

    fn finish_loading(&mut self) -> Vec<Notice> {
        match &self.state {
            State::Loading {
                head,
                version,
                left,
            } if left.is_empty() => {
                let (head, version) = (head.clone(), *version);
                self.add_to_index(&head.claims);
                self.indexed_epoch = head.epoch();
                self.version = version;
                self.wanted = false;
                self.state = State::Owned { head, version };
                vec![Notice::Ready]
            }
            _ => Vec::new(),
        }
    }

    fn add_to_index(&mut self, claims: &[Claim]) {
        for claim in claims {
            if let Some(key) = claim.claim_key() {
                self.index.insert(key, (claim.epoch, claim.content));
            }
        }
    }

    fn on_commit(
        &mut self,
        claims: Vec<Pending>,
        head: Head,
        end: Result<StoreVersion, StoreError>,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        match end {
            Ok(version) => {
                let keys = claims.iter().map(|p| p.key).collect();
                self.apply(head, version, cfg);
                vec![Notice::Durable(keys)]
            }
            Err(e) if e == StoreError::Conflict || e.may_have_written() => {
                self.unsettled = claims;
                self.unsettled.iter_mut().for_each(|p| p.carried = true);
                self.unread()
            }
            Err(_) => {
                self.put_back(claims);
                Vec::new()
            }
        }
    }

    fn put_back(&mut self, claims: Vec<Pending>) {
        for claim in claims.into_iter().rev() {
            self.pending.push_front(claim);
        }
    }

    /// Takes over a head of the own epoch that was read back after a write with no answer.
    ///
    /// The write may still land later. The next commit expects the version read here, so one of the
    /// two finds a conflict and is settled in turn.
    fn adopt(&mut self, head: Head, version: StoreVersion, cfg: &ClaimsConfig) -> Vec<Notice> {
        let mut claims = std::mem::take(&mut self.unsettled);
        claims.extend(self.pending.drain(..));
        let (durable, open) = split_durable(&head, head.epoch(), claims);
        self.pending = open.into();
        self.apply(head, version, cfg);
        vec![Notice::Durable(durable), Notice::Ready]
    }

    /// Makes a head that is in the store the one in force.
    fn apply(&mut self, head: Head, version: StoreVersion, cfg: &ClaimsConfig) {
        let named = head.segments();
        self.drop_trimmed(named.front().copied(), cfg);
        self.doubtful.extend(self.rolled.take());
        for segment in std::mem::take(&mut self.doubtful) {
            if named.contains(&segment.id) {
                self.segments.push_back(segment);
            } else if version == self.version {
                // A write that names it may still land.
                self.doubtful.push(segment);
            } else {
                self.discard(segment.id, cfg);
            }
        }
        self.add_to_index(&head.claims);
        self.version = version;
        self.state = State::Owned { head, version };
    }

    fn drop_trimmed(&mut self, first: Option<SegmentId>, cfg: &ClaimsConfig) {
        while let Some(segment) = self.segments.pop_front_if(|s| Some(s.id) != first) {
            for key in &segment.keys {
                self.index.remove(key);
            }
            self.discard(segment.id, cfg);
        }
    }

    fn on_rolled(
        &mut self,
        rolled: LoadedSegment,
        end: &Result<StoreVersion, StoreError>,
        cfg: &ClaimsConfig,
    ) -> Vec<Notice> {
        if end.is_ok() {
            self.rolled = Some(rolled);
        } else {
            self.discard(rolled.id, cfg);
        }
        Vec::new()
    }
}
