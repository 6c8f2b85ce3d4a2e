//! Ownership of a partition and the commits of its claims.
//!
//! Every change is one compare-and-swap of the partition's head. A home that lost the partition
//! finds out by a conflict; a write whose answer was lost is settled by reading the head again. At
//! most one store call is on its way per partition.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};

use crate::key::ClaimKey;
use crate::request::HomeRef;
use crate::value::{Claim, Head, SegmentId};

mod calls;
mod chain;
mod ends;

use chain::{Chain, LoadedSegment};

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
        expect: Precondition,
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
    Delete(SegmentId),
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
    chain: Chain,
    /// Epoch that the chain is complete for; 0 while this home owns none.
    chain_epoch: u64,
    next_segment: u64,
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
            chain: Chain::default(),
            chain_epoch: 0,
            next_segment: 0,
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
        self.chain.len()
    }

    /// What is durably known of a key; meaningful while the partition is ready.
    #[must_use]
    pub fn lookup(&self, key: ClaimKey) -> Option<Claimed> {
        let (epoch, content) = self.chain.get(key)?;
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
        let commits_only = self.is_ready() && !self.chain.has_garbage();
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
            State::Unread | State::Foreign(_) => None,
        }
    }

    fn has_work(&self) -> bool {
        let owed = !self.pending.is_empty() || !self.unsettled.is_empty();
        match self.state {
            State::Owned { .. } => owed || self.chain.has_garbage(),
            _ => owed || self.wanted,
        }
    }
}
