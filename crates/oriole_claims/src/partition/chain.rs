//! The owner's picture of a partition's claims: the index and the segments that hold them.

use std::collections::{HashMap, HashSet, VecDeque};

use oriole_store::store::StoreVersion;

use crate::config::{ClaimsLimits, millis};
use crate::key::ClaimKey;
use crate::value::{Claim, Head, SegmentId};

/// Longest list of segments that wait to be removed; further ones are left behind.
const MAX_GARBAGE: usize = 1024;

/// Size of a stored claim, in bytes.
const CLAIM_BYTES: usize = 32;

/// What the owner remembers of a segment.
#[derive(Clone, Debug)]
pub(super) struct LoadedSegment {
    pub(super) id: SegmentId,
    newest_ms: u64,
    keys: Vec<ClaimKey>,
    /// Segments whose claims this one holds as well, and which it replaces.
    merges: Vec<SegmentId>,
}

impl LoadedSegment {
    fn new(id: SegmentId, claims: &[Claim], merges: Vec<SegmentId>) -> Self {
        let newest_ms = claims.iter().map(|c| c.stamp_ms).max();
        Self {
            id,
            newest_ms: newest_ms.unwrap_or_default(),
            keys: claims.iter().filter_map(Claim::claim_key).collect(),
            merges,
        }
    }

    fn is_small(&self, limits: &ClaimsLimits) -> bool {
        self.keys.len() * CLAIM_BYTES < 2 * limits.segment_bytes
    }
}

/// Index and segments of an owned partition.
#[derive(Debug, Default)]
pub(super) struct Chain {
    /// All durable claims of the partition, as claimed epoch and content; complete while owned.
    index: HashMap<ClaimKey, (u64, u32)>,
    /// Segments that the head names, oldest first.
    segments: VecDeque<LoadedSegment>,
    /// A segment that the next commit will name.
    rolled: Option<LoadedSegment>,
    /// Segments that only a write with no answer names.
    doubtful: Vec<LoadedSegment>,
    /// Segments that no head will ever name again.
    garbage: VecDeque<SegmentId>,
    /// Version of the last head in force.
    pub(super) version: StoreVersion,
}

impl Chain {
    pub(super) fn len(&self) -> usize {
        self.index.len()
    }

    /// Epoch and content of a claim.
    pub(super) fn get(&self, key: ClaimKey) -> Option<(u64, u32)> {
        self.index.get(&key).copied()
    }

    pub(super) fn add(&mut self, claims: &[Claim]) {
        for claim in claims {
            if let Some(key) = claim.claim_key() {
                self.index.insert(key, (claim.epoch, claim.content));
            }
        }
    }

    /// Adds a segment that was read; the oldest comes first.
    pub(super) fn add_segment(&mut self, id: SegmentId, claims: &[Claim]) {
        self.add(claims);
        let segment = LoadedSegment::new(id, claims, Vec::new());
        self.segments.push_back(segment);
    }

    pub(super) fn has_rolled(&self) -> bool {
        self.rolled.is_some()
    }

    /// The segment that takes up the open claims, and what it holds. Once enough small segments
    /// stand at the end, it takes up theirs as well, so that a new owner has few to read.
    pub(super) fn roll(
        &self,
        id: SegmentId,
        open: Vec<Claim>,
        limits: &ClaimsLimits,
    ) -> (LoadedSegment, Vec<Claim>) {
        let tail = self.segments.iter().rev();
        let small = tail.take_while(|s| s.is_small(limits)).count();
        let mut claims = Vec::new();
        let mut merges = Vec::new();
        if small >= limits.merge_min_segments {
            for segment in self.segments.iter().skip(self.segments.len() - small) {
                claims.extend(segment.keys.iter().filter_map(|k| self.claim(*k, segment)));
                merges.push(segment.id);
            }
        }
        claims.extend(open);
        (LoadedSegment::new(id, &claims, merges), claims)
    }

    /// A claim of a segment, with the segment's newest stamp: it is then kept no shorter.
    fn claim(&self, key: ClaimKey, segment: &LoadedSegment) -> Option<Claim> {
        let (epoch, content) = self.get(key)?;
        Some(Claim {
            key: key.0.to_be_bytes().to_vec(),
            content,
            stamp_ms: segment.newest_ms,
            epoch,
        })
    }

    pub(super) fn on_rolled(&mut self, segment: LoadedSegment, written: bool) {
        if written {
            self.rolled = Some(segment);
        } else {
            self.discard(segment.id);
        }
    }

    /// Changes a head as the next commit will have it: names the rolled segment in place of the
    /// open claims, and drops segments whose claims are all past the retention.
    pub(super) fn propose(&self, head: &mut Head, unix_ms: u64, limits: &ClaimsLimits) {
        let dropped = self.trim(head, unix_ms, limits);
        let mut named: Vec<SegmentId> = head.segments().into_iter().skip(dropped).collect();
        if let Some(rolled) = &self.rolled {
            named.retain(|id| !rolled.merges.contains(id));
            named.push(rolled.id);
            head.claims.clear();
        }
        head.name_segments(&named);
    }

    /// Raises the floor above the segments to drop; returns their number.
    fn trim(&self, head: &mut Head, unix_ms: u64, limits: &ClaimsLimits) -> usize {
        let horizon = millis(limits.retention + limits.max_issue_ahead);
        let excess = self.segments.len().saturating_sub(limits.min_segments);
        let old = |s: &&LoadedSegment| s.newest_ms + horizon < unix_ms;
        let dropped = self.segments.iter().take(excess).take_while(old);
        let mut count = 0;
        for segment in dropped {
            head.min_issued_ms = head.min_issued_ms.max(segment.newest_ms + 1);
            count += 1;
        }
        count
    }

    /// Follows a head that is in the store.
    pub(super) fn apply(&mut self, head: &Head, version: StoreVersion) {
        let named: HashSet<SegmentId> = head.segments().into_iter().collect();
        let unchanged = version == self.version;
        self.doubtful.extend(self.rolled.take());
        let (new, unnamed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.doubtful)
            .into_iter()
            .partition(|s| named.contains(&s.id));
        let merged: HashSet<SegmentId> = new.iter().flat_map(|s| s.merges.clone()).collect();
        self.drop_unnamed(&named, &merged);
        for segment in unnamed {
            if unchanged {
                // A write that names it may still land.
                self.doubtful.push(segment);
            } else {
                self.discard(segment.id);
            }
        }
        self.segments.extend(new);
        self.add(&head.claims);
        self.version = version;
    }

    fn drop_unnamed(&mut self, named: &HashSet<SegmentId>, merged: &HashSet<SegmentId>) {
        for segment in std::mem::take(&mut self.segments) {
            if named.contains(&segment.id) {
                self.segments.push_back(segment);
                continue;
            }
            if !merged.contains(&segment.id) {
                for key in &segment.keys {
                    self.index.remove(key);
                }
            }
            self.discard(segment.id);
        }
    }

    pub(super) fn discard(&mut self, id: SegmentId) {
        if self.garbage.len() < MAX_GARBAGE {
            self.garbage.push_back(id);
        }
    }

    pub(super) fn has_garbage(&self) -> bool {
        !self.garbage.is_empty()
    }

    pub(super) fn pop_garbage(&mut self) -> Option<SegmentId> {
        self.garbage.pop_front()
    }
}
