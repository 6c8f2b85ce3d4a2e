//! Counters of store calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts store calls. A watch counts once, however long it waits.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    refused: AtomicU64,
}

/// A snapshot of [`CallCounters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, deletions and calls on leases.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls refused because of the rate limit or an outage. They are also counted by kind.
    pub refused: u64,
}

/// Kind of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of a value.
    Read,
    /// A write, a deletion or a call on a lease.
    Write,
    /// A wait for a change of a value.
    Watch,
}

impl CallKind {
    /// Label of the kind in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

impl CallCounters {
    /// Counts a call.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refused call.
    pub fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// The current counts.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }
}

impl CallCounts {
    /// Reads and watches together; both count against the store's read rate.
    #[must_use]
    pub fn read_calls(&self) -> u64 {
        self.reads + self.watches
    }

    /// The difference to an earlier snapshot.
    #[must_use]
    pub fn delta_since(&self, earlier: &Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            watches: self.watches - earlier.watches,
            refused: self.refused - earlier.refused,
        }
    }
}
