//! The owner's in-memory index of a partition's claims and of the segments that store them.

use std::collections::{HashMap, HashSet, VecDeque};

use oriole_store::store::StoreVersion;

use crate::config::{ClaimsLimits, millis};
use crate::key::ClaimKey;
use crate::value::{Claim, Head, SegmentId};

/// Most segments that wait to be deleted. Further ones stay in the store.
const MAX_GARBAGE_SEGMENTS: usize = 1024;

/// Approximate size of a stored claim.
const CLAIM_BYTES: usize = 32;

/// A segment as its owner keeps it in memory.
#[derive(Clone, Debug)]
pub(super) struct SegmentInfo {
    pub(super) id: SegmentId,
    /// Latest issue time of its claims, in Unix milliseconds.
    newest_ms: u64,
    keys: Vec<ClaimKey>,
    /// Segments that this one replaces: it contains their claims as well.
    merges: Vec<SegmentId>,
}

impl SegmentInfo {
    fn new(id: SegmentId, claims: &[Claim], merges: Vec<SegmentId>) -> Self {
        let newest_ms = claims.iter().map(|c| c.issued_ms).max();
        Self {
            id,
            newest_ms: newest_ms.unwrap_or_default(),
            keys: claims.iter().filter_map(Claim::claim_key).collect(),
            merges,
        }
    }

    fn is_small(&self, limits: &ClaimsLimits) -> bool {
        self.keys.len() * CLAIM_BYTES < 2 * limits.max_head_bytes
    }
}

/// Claims and segments of an owned partition.
#[derive(Debug, Default)]
pub(super) struct ClaimIndex {
    /// Epoch and content check of every durable claim; complete while the partition is owned.
    claims: HashMap<ClaimKey, (u64, u32)>,
    /// Segments that the head lists, oldest first.
    segments: VecDeque<SegmentInfo>,
    /// A segment that is written and that the next commit will list.
    rolled: Option<SegmentInfo>,
    /// Segments listed only by a head whose write got no answer.
    unconfirmed: Vec<SegmentInfo>,
    /// Segments that no head will list again.
    garbage: VecDeque<SegmentId>,
    /// Store version of the current head.
    pub(super) version: StoreVersion,
}

impl ClaimIndex {
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Epoch and content check of a claim.
    pub(super) fn get(&self, key: ClaimKey) -> Option<(u64, u32)> {
        self.claims.get(&key).copied()
    }

    pub(super) fn add(&mut self, claims: &[Claim]) {
        for claim in claims {
            if let Some(key) = claim.claim_key() {
                self.claims.insert(key, (claim.epoch, claim.content));
            }
        }
    }

    /// Adds a segment read from the store. Segments must be added oldest first.
    pub(super) fn add_segment(&mut self, id: SegmentId, claims: &[Claim]) {
        self.add(claims);
        let segment = SegmentInfo::new(id, claims, Vec::new());
        self.segments.push_back(segment);
    }

    pub(super) fn has_rolled(&self) -> bool {
        self.rolled.is_some()
    }

    /// Builds the segment that takes over the claims of the head, `open`; returns it with its
    /// claims. If enough of the newest segments are small, their claims are merged into it, so that
    /// a new owner has few segments to read.
    pub(super) fn roll(
        &self,
        id: SegmentId,
        open: Vec<Claim>,
        limits: &ClaimsLimits,
    ) -> (SegmentInfo, Vec<Claim>) {
        let tail = self.segments.iter().rev();
        let small = tail.take_while(|s| s.is_small(limits)).count();
        let mut claims = Vec::new();
        let mut merges = Vec::new();
        if small >= limits.merge_min_segments {
            for segment in self.segments.iter().skip(self.segments.len() - small) {
                claims.extend(
                    segment
                        .keys
                        .iter()
                        .filter_map(|k| self.merged_claim(*k, segment)),
                );
                merges.push(segment.id);
            }
        }
        claims.extend(open);
        (SegmentInfo::new(id, &claims, merges), claims)
    }

    /// A claim of a segment, with the segment's latest issue time so that merging never shortens
    /// how long it is kept.
    fn merged_claim(&self, key: ClaimKey, segment: &SegmentInfo) -> Option<Claim> {
        let (epoch, content) = self.get(key)?;
        Some(Claim {
            key: key.0.to_be_bytes().to_vec(),
            content,
            issued_ms: segment.newest_ms,
            epoch,
        })
    }

    pub(super) fn on_rolled(&mut self, segment: SegmentInfo, written: bool) {
        if written {
            self.rolled = Some(segment);
        } else {
            self.discard(segment.id);
        }
    }

    /// Changes `head` into the one of the next commit: lists the rolled segment in place of the
    /// claims in the head, and drops segments whose claims are all past their retention.
    pub(super) fn prepare_head(&self, head: &mut Head, unix_ms: u64, limits: &ClaimsLimits) {
        let dropped = self.expire_segments(head, unix_ms, limits);
        let mut listed: Vec<SegmentId> = head.segments().into_iter().skip(dropped).collect();
        if let Some(rolled) = &self.rolled {
            listed.retain(|id| !rolled.merges.contains(id));
            listed.push(rolled.id);
            head.claims.clear();
        }
        head.set_segments(&listed);
    }

    /// Raises `min_issued_ms` above the claims of expired segments; returns how many segments to
    /// drop.
    fn expire_segments(&self, head: &mut Head, unix_ms: u64, limits: &ClaimsLimits) -> usize {
        let horizon = millis(limits.retention + limits.max_issue_ahead);
        let excess = self.segments.len().saturating_sub(limits.min_segments);
        let expired = |s: &&SegmentInfo| s.newest_ms + horizon < unix_ms;
        let dropped = self.segments.iter().take(excess).take_while(expired);
        let mut count = 0;
        for segment in dropped {
            head.min_issued_ms = head.min_issued_ms.max(segment.newest_ms + 1);
            count += 1;
        }
        count
    }

    /// Updates the index to a head that is in the store.
    pub(super) fn apply(&mut self, head: &Head, version: StoreVersion) {
        let listed: HashSet<SegmentId> = head.segments().into_iter().collect();
        let unchanged = version == self.version;
        self.unconfirmed.extend(self.rolled.take());
        let (new, unlisted): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(|s| listed.contains(&s.id));
        let merged: HashSet<SegmentId> = new.iter().flat_map(|s| s.merges.clone()).collect();
        self.drop_unlisted(&listed, &merged);
        for segment in unlisted {
            if unchanged {
                // A delayed write that lists it may still be applied.
                self.unconfirmed.push(segment);
            } else {
                self.discard(segment.id);
            }
        }
        self.segments.extend(new);
        self.add(&head.claims);
        self.version = version;
    }

    fn drop_unlisted(&mut self, listed: &HashSet<SegmentId>, merged: &HashSet<SegmentId>) {
        for segment in std::mem::take(&mut self.segments) {
            if listed.contains(&segment.id) {
                self.segments.push_back(segment);
                continue;
            }
            if !merged.contains(&segment.id) {
                for key in &segment.keys {
                    self.claims.remove(key);
                }
            }
            self.discard(segment.id);
        }
    }

    pub(super) fn discard(&mut self, id: SegmentId) {
        if self.garbage.len() < MAX_GARBAGE_SEGMENTS {
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
