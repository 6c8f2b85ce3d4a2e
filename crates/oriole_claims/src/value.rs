//! What the store holds for a partition of the key space.
//!
//! The head is one value that every change of a partition swaps: it names the owner, and holds the
//! newest claims. Older claims lie in segments, which never change once the head names them.

use std::collections::VecDeque;

use oriole_types::ids::{Incarnation, PoolName, VmName};
use prost::Message;

use crate::key::{CLAIM_KEY_LEN, ClaimKey};
use crate::request::HomeRef;

/// Most former owners that a head names. Claims of owners before these have no known home.
pub const MAX_OWNERS: usize = 64;

/// A claim: this key is bound to the owner of this epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    /// The claim key, 16 bytes, big end first.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// First four bytes of the content digest.
    #[prost(fixed32, tag = "2")]
    pub content: u32,
    /// Issue time of the key, or the time of the claim for a plain key; Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub stamp_ms: u64,
    /// Epoch whose owner made the claim.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

impl Claim {
    /// The claim key; `None` if it has a wrong length.
    #[must_use]
    pub fn claim_key(&self) -> Option<ClaimKey> {
        let buf: [u8; CLAIM_KEY_LEN] = self.key.as_slice().try_into().ok()?;
        Some(ClaimKey(u128::from_be_bytes(buf)))
    }
}

/// Owner of a partition for one epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EpochOwner {
    /// Number of the epoch; it grows with each change of the owner.
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

    /// Whether some home owned the epoch.
    #[must_use]
    pub fn is(&self, home: &HomeRef) -> bool {
        self.vm == home.vm.as_str() && self.incarnation == home.incarnation.0
    }
}

/// Consecutive segments of one epoch.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SegmentRange {
    /// Epoch that wrote the segments.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the first.
    #[prost(uint64, tag = "2")]
    pub first: u64,
    /// How many.
    #[prost(uint64, tag = "3")]
    pub count: u64,
}

/// Name of a segment within its partition. No name is ever written twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    /// Epoch that wrote it.
    pub epoch: u64,
    /// Its number within the epoch.
    pub number: u64,
}

/// The value that every change of a partition swaps.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Owners, oldest first; the last is in force.
    #[prost(message, repeated, tag = "1")]
    pub owners: Vec<EpochOwner>,
    /// Keys issued before this Unix time, in milliseconds, are refused. It only grows.
    #[prost(uint64, tag = "2")]
    pub min_issued_ms: u64,
    /// Segments, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub ranges: Vec<SegmentRange>,
    /// First segment number that the writer of the head had not used.
    #[prost(uint64, tag = "4")]
    pub next_segment: u64,
    /// Claims that lie in no segment.
    #[prost(message, repeated, tag = "5")]
    pub claims: Vec<Claim>,
}

impl Head {
    /// The epoch in force; 0 before the first owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.owners.last().map_or(0, |o| o.epoch)
    }

    /// The owner in force.
    #[must_use]
    pub fn owner(&self) -> Option<HomeRef> {
        self.owners.last().map(EpochOwner::home)
    }

    /// Whether some home owns the partition now.
    #[must_use]
    pub fn is_owned_by(&self, home: &HomeRef) -> bool {
        self.owners.last().is_some_and(|o| o.is(home))
    }

    /// The owner of some epoch, as far as the head still names it.
    #[must_use]
    pub fn owner_of(&self, epoch: u64) -> Option<&EpochOwner> {
        self.owners.iter().rev().find(|o| o.epoch == epoch)
    }

    /// The head with a new owner.
    #[must_use]
    pub fn taken_by(&self, home: &HomeRef) -> Self {
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

    /// Names these segments, oldest first, and no others.
    pub fn name_segments(&mut self, ids: &[SegmentId]) {
        self.ranges.clear();
        for id in ids {
            self.push_segment(*id);
        }
    }
}

/// Claims that no longer change.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Segment {
    /// The claims.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<Claim>,
}

/// Store key of a pool's layout.
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
