//! Counters of calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts calls at a store. A watch counts once, however long it waits.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    refused: AtomicU64,
}

/// The counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, deletions and calls on leases.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Calls refused because of a rate or an outage; they count above too.
    pub refused: u64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads a value.
    Read,
    /// Changes something.
    Write,
    /// Waits for a change.
    Watch,
}

impl CallKind {
    /// Name of the kind in metrics.
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

    /// The counters now.
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
    /// Reads and watches together, as the store's read rate counts them.
    #[must_use]
    pub fn read_calls(&self) -> u64 {
        self.reads + self.watches
    }

    /// What was counted since an earlier moment.
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
