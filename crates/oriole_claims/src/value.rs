//! The values stored for a partition.
//!
//! The head is the value that every change of a partition replaces by a compare-and-swap. It names
//! the owner and contains the newest claims. Older claims are in segments, which never change once
//! the head lists them.

use std::collections::VecDeque;

use oriole_types::ids::{Incarnation, PoolName, VmName};
use prost::Message;

use crate::key::{CLAIM_KEY_LEN, ClaimKey};
use crate::request::HomeRef;

/// Most owners that a head lists. The home of a claim made by an earlier owner is unknown.
pub const MAX_OWNERS: usize = 64;

/// A claim: the key is bound to the home that owned the partition in the epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    /// The claim key: 16 bytes, big-endian.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// First four bytes of the content digest.
    #[prost(fixed32, tag = "2")]
    pub content: u32,
    /// Issue time of the key, or time of the claim if the key has none; Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub issued_ms: u64,
    /// Epoch in which the claim was made.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

impl Claim {
    /// The claim key; `None` if it has the wrong length.
    #[must_use]
    pub fn claim_key(&self) -> Option<ClaimKey> {
        let buf: [u8; CLAIM_KEY_LEN] = self.key.as_slice().try_into().ok()?;
        Some(ClaimKey(u128::from_be_bytes(buf)))
    }
}

/// The owner of a partition during one epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EpochOwner {
    /// Number of the epoch; it increases with each change of the owner.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// VM of the owner.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Incarnation of the owner.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
}

impl EpochOwner {
    /// The owner as a home.
    #[must_use]
    pub fn home(&self) -> HomeRef {
        HomeRef {
            vm: VmName::new(&self.vm),
            incarnation: Incarnation(self.incarnation),
        }
    }

    /// Whether `home` owned the partition in this epoch.
    #[must_use]
    pub fn is_home(&self, home: &HomeRef) -> bool {
        self.vm == home.vm.as_str() && self.incarnation == home.incarnation.0
    }
}

/// Consecutively numbered segments of one epoch.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SegmentRange {
    /// Epoch in which the segments were written.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the first segment.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// Number of segments.
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// Identifies a segment within its partition. No identifier is used for two writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// Epoch in which the segment was written.
    pub epoch: u64,
    /// Number of the segment within the epoch.
    pub number: u64,
}

/// The value that every change of a partition replaces.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Owners, oldest first; the last one is current.
    #[prost(message, repeated, tag = "1")]
    pub owners: Vec<EpochOwner>,
    /// Keys issued before this Unix time, in milliseconds, are refused. It never decreases.
    #[prost(uint64, tag = "2")]
    pub min_issued_ms: u64,
    /// Segments, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub ranges: Vec<SegmentRange>,
    /// First segment number of the current epoch that was unused when the head was written.
    #[prost(uint64, tag = "4")]
    pub next_segment: u64,
    /// Claims that are in no segment.
    #[prost(message, repeated, tag = "5")]
    pub claims: Vec<Claim>,
}

impl Head {
    /// The current epoch; 0 before the first owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.owners.last().map_or(0, |o| o.epoch)
    }

    /// The current owner.
    #[must_use]
    pub fn owner(&self) -> Option<HomeRef> {
        self.owners.last().map(EpochOwner::home)
    }

    /// Whether `home` is the current owner.
    #[must_use]
    pub fn is_owned_by(&self, home: &HomeRef) -> bool {
        self.owners.last().is_some_and(|o| o.is_home(home))
    }

    /// The owner of an epoch; `None` if the head no longer lists it.
    #[must_use]
    pub fn owner_of(&self, epoch: u64) -> Option<&EpochOwner> {
        self.owners.iter().rev().find(|o| o.epoch == epoch)
    }

    /// A copy of the head with a new epoch owned by `home`.
    #[must_use]
    pub fn with_owner(&self, home: &HomeRef) -> Self {
        let mut head = self.clone();
        head.owners.push(EpochOwner {
            epoch: self.epoch() + 1,
            vm: home.vm.as_str().to_owned(),
            incarnation: home.incarnation.0,
        });
        let excess = head.owners.len().saturating_sub(MAX_OWNERS);
        head.owners.drain(..excess);
        head
    }

    /// All segments, oldest first.
    #[must_use]
    pub fn segments(&self) -> VecDeque<SegmentId> {
        let ids = |r: &SegmentRange| {
            let epoch = r.epoch;
            (r.first..r.first + r.count).map(move |number| SegmentId { epoch, number })
        };
        self.ranges.iter().flat_map(ids).collect()
    }

    fn push_segment(&mut self, id: SegmentId) {
        if let Some(last) = self.ranges.last_mut()
            && last.epoch == id.epoch
            && last.first + last.count == id.number
        {
            last.count += 1;
            return;
        }
        self.ranges.push(SegmentRange {
            epoch: id.epoch,
            first: id.number,
            count: 1,
        });
    }

    /// Replaces the list of segments, given oldest first.
    pub fn set_segments(&mut self, ids: &[SegmentId]) {
        self.ranges.clear();
        for id in ids {
            self.push_segment(*id);
        }
    }
}

/// A stored batch of claims, which never changes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Segment {
    /// The claims.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<Claim>,
}

/// Store key of the layout of a pool.
#[must_use]
pub fn layout_key(pool: &PoolName) -> String {
    format!("claims/{pool}/layout")
}

/// Store key of a partition's head.
#[must_use]
pub fn head_key(pool: &PoolName, partition: u32) -> String {
    format!("claims/{pool}/{partition}/head")
}

/// Store key of a segment.
#[must_use]
pub fn segment_key(pool: &PoolName, partition: u32, id: SegmentId) -> String {
    format!("claims/{pool}/{partition}/{}/{}", id.epoch, id.number)
}
