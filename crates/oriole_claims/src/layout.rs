//! The layout of a pool: its number of partitions, fixed by the first write to the store.
//!
//! The partition of a key depends on that number, so two homes with different numbers could both
//! claim the same key. Every home therefore uses the stored number instead of its configured one.

use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};

/// The layout of a pool as a home knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// Unknown; the store must be read.
    Unread,
    /// The store had no layout when it was read.
    Absent,
    /// The stored number of partitions.
    Known(u32),
}

impl Layout {
    /// The number of partitions; `None` until it is known.
    #[must_use]
    pub fn partitions(self) -> Option<u32> {
        match self {
            Self::Known(n) => Some(n),
            Self::Unread | Self::Absent => None,
        }
    }

    /// The layout after a read of its store key.
    #[must_use]
    pub fn after_read(self, result: &Result<Option<Versioned>, StoreError>) -> Self {
        match result {
            Ok(Some(found)) => parse(&found.value).map_or(Self::Unread, Self::Known),
            Ok(None) => Self::Absent,
            Err(_) => self,
        }
    }

    /// The layout after a write of `partitions` with [`CREATE_PRECONDITION`].
    #[must_use]
    pub fn after_write(self, partitions: u32, result: &Result<StoreVersion, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Known(partitions),
            Err(_) => Self::Unread,
        }
    }
}

/// Encodes a layout as its stored value.
#[must_use]
pub fn encode(partitions: u32) -> Bytes {
    Bytes::from(partitions.to_string())
}

/// Precondition of the write that creates a layout.
pub const CREATE_PRECONDITION: Precondition = Precondition::Absent;

fn parse(value: &[u8]) -> Option<u32> {
    let partitions = std::str::from_utf8(value).ok()?.parse().ok()?;
    (partitions > 0).then_some(partitions)
}
