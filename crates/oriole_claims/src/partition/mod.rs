//! Ownership of a partition and the commits of its claims.
//!
//! Every change is one compare-and-swap of the partition's head. A home that lost the partition
//! finds out by a conflict; after a write whose answer was lost it reads the head again. At most
//! one store call per partition is in flight.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};

use crate::key::ClaimKey;
use crate::request::HomeRef;
use crate::value::{Claim, Head, SegmentId};

mod claim_index;
mod outcomes;
mod store_calls;

use claim_index::{ClaimIndex, SegmentInfo};

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read a value.
    Read {
        /// Key in the store.
        key: String,
    },
    /// Write a value if the precondition holds.
    Write {
        /// Key in the store.
        key: String,
        /// New value.
        value: Bytes,
        /// What must be stored under the key for the write to succeed.
        precondition: Precondition,
    },
    /// Delete a value.
    Delete {
        /// Key in the store.
        key: String,
    },
}

/// Outcome of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Outcome of a read; `None` if the key has no value.
    Read(Result<Option<Versioned>, StoreError>),
    /// Outcome of a write, with the version it created.
    Write(Result<StoreVersion, StoreError>),
    /// Outcome of a deletion.
    Delete(Result<(), StoreError>),
}

/// A durable claim, as the partition's owner reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExistingClaim {
    /// First four bytes of the content digest.
    pub content: u32,
    /// The home that the key is bound to; `None` if the head no longer lists its epoch.
    pub home: Option<HomeRef>,
}

/// A claim that waits to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    /// The claim key.
    pub key: ClaimKey,
    /// First four bytes of the content digest.
    pub content: u32,
    /// Issue time of the key in Unix milliseconds, if the key contains one.
    pub issued_ms: Option<u64>,
    /// Whether a commit with unknown outcome included this claim. If not, a durable claim of this
    /// home for the same key is an older one, whose run may have started.
    pub maybe_committed: bool,
}

/// A change of a partition that its home must act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionEvent {
    /// The claims are durable and bound to this home.
    Durable(Vec<ClaimKey>),
    /// The home owns the partition and has loaded all its claims: pending keys can be looked up.
    Ready,
}

#[derive(Clone, Debug)]
enum State {
    /// The head must be read before anything else.
    Unread,
    /// Another home owns it, or none. Holds the head as last read; `None` if there was no head.
    NotOwned(Option<(Head, StoreVersion)>),
    /// This home owns it and still has to read the remaining segments.
    Loading {
        head: Head,
        version: StoreVersion,
        remaining: VecDeque<SegmentId>,
    },
    /// This home owns it and its index is complete.
    Owned { head: Head, version: StoreVersion },
}

/// The store call in flight, with what is needed to apply its outcome.
#[derive(Clone, Debug)]
enum InFlight {
    ReadHead,
    /// Write of a head that names this home as the new owner.
    Acquire(Head),
    ReadSegment(SegmentId),
    Commit(Vec<PendingClaim>, Head),
    /// Write of a segment that takes over the claims of the head.
    Roll(SegmentInfo),
    Delete(SegmentId),
}

impl PendingClaim {
    fn to_claim(self, epoch: u64, unix_ms: u64) -> Claim {
        Claim {
            key: self.key.0.to_be_bytes().to_vec(),
            content: self.content,
            issued_ms: self.issued_ms.unwrap_or(unix_ms),
            epoch,
        }
    }
}

/// One partition as one home sees it.
#[derive(Debug)]
pub struct Partition {
    id: u32,
    home: HomeRef,
    state: State,
    in_flight: Option<InFlight>,
    pending: VecDeque<PendingClaim>,
    /// Claims of a commit whose outcome is unknown.
    unconfirmed: Vec<PendingClaim>,
    index: ClaimIndex,
    /// Epoch for which the index is complete; 0 while this home does not own the partition.
    index_epoch: u64,
    /// Number of the next segment to write.
    next_segment: u64,
    /// Earliest time of the next store call; a failed call postpones it.
    next_call_at: Duration,
    /// Earliest time of the next commit.
    next_commit_at: Duration,
    /// Delay after the last failed store call, before jitter; zero after a success.
    retry_delay: Duration,
    /// Whether to acquire the partition without a pending claim.
    ownership_requested: bool,
}

impl Partition {
    /// Creates a partition whose head has not been read.
    #[must_use]
    pub fn new(id: u32, home: HomeRef) -> Self {
        Self {
            id,
            home,
            state: State::Unread,
            in_flight: None,
            pending: VecDeque::new(),
            unconfirmed: Vec::new(),
            index: ClaimIndex::default(),
            index_epoch: 0,
            next_segment: 0,
            next_call_at: Duration::ZERO,
            next_commit_at: Duration::ZERO,
            retry_delay: Duration::ZERO,
            ownership_requested: false,
        }
    }

    /// Whether this home, as far as it knows, owns the partition and has loaded all its claims.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(self.state, State::Owned { .. })
    }

    /// The number of claims this home holds in memory for the partition.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.index.len()
    }

    /// The durable claim of a key. Reliable only while the partition is ready.
    #[must_use]
    pub fn lookup(&self, key: ClaimKey) -> Option<ExistingClaim> {
        let (epoch, content) = self.index.get(key)?;
        let head = self.head()?;
        let home = head.owner_of(epoch).map(crate::value::EpochOwner::home);
        Some(ExistingClaim { content, home })
    }

    /// Keys issued before this Unix time, in milliseconds, are refused; 0 while this home does not own
    /// the partition.
    #[must_use]
    pub fn min_issued_ms(&self) -> u64 {
        self.head().map_or(0, |h| h.min_issued_ms)
    }

    /// Acquires the partition even if no claim is pending.
    pub fn request_ownership(&mut self) {
        self.ownership_requested = true;
    }

    /// Queues a claim for the next commit.
    pub fn add_pending(&mut self, pending: PendingClaim) {
        self.pending.push_back(pending);
    }

    /// Removes a claim from the queue; returns whether it was there.
    pub fn remove_pending(&mut self, key: ClaimKey) -> bool {
        let before = self.pending.len();
        self.pending.retain(|p| p.key != key);
        self.pending.len() < before
    }

    /// Claims in the queue, without those of a commit in flight.
    pub fn pending(&self) -> impl Iterator<Item = PendingClaim> + '_ {
        self.pending.iter().copied()
    }

    /// Empties the queue and returns its keys, for a home that should not own the partition.
    pub fn abandon_pending(&mut self) -> Vec<ClaimKey> {
        self.ownership_requested = false;
        self.pending.drain(..).map(|p| p.key).collect()
    }

    /// When the next store call is due; `None` if there is none or one is in flight.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        if self.in_flight.is_some() || !self.has_work() {
            return None;
        }
        let commits_only = self.is_ready() && !self.index.has_garbage();
        let at = if commits_only {
            self.next_call_at.max(self.next_commit_at)
        } else {
            self.next_call_at
        };
        Some(at)
    }

    fn head(&self) -> Option<&Head> {
        match &self.state {
            State::Loading { head, .. } | State::Owned { head, .. } => Some(head),
            State::Unread | State::NotOwned(_) => None,
        }
    }

    fn has_work(&self) -> bool {
        let has_claims = !self.pending.is_empty() || !self.unconfirmed.is_empty();
        match self.state {
            State::Owned { .. } => has_claims || self.index.has_garbage(),
            _ => has_claims || self.ownership_requested,
        }
    }
}
