//! The number of a pool's partitions, which is fixed by the first write to the store.
//!
//! A key's partition depends on it, so two homes that used different numbers could both claim a
//! key. Every home therefore takes the stored number, whatever its configuration says.

use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};

/// What a home knows of the layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// Nothing; the store must be read.
    Unread,
    /// The store held no layout when it was read.
    Absent,
    /// The number of partitions.
    Known(u32),
}

impl Layout {
    /// The number of partitions, once known.
    #[must_use]
    pub fn partitions(self) -> Option<u32> {
        match self {
            Self::Known(n) => Some(n),
            Self::Unread | Self::Absent => None,
        }
    }

    /// What is known after a read.
    #[must_use]
    pub fn after_read(self, end: &Result<Option<Versioned>, StoreError>) -> Self {
        match end {
            Ok(Some(found)) => parse(&found.value).map_or(Self::Unread, Self::Known),
            Ok(None) => Self::Absent,
            Err(_) => self,
        }
    }

    /// What is known after a write of `partitions`, which expects no value.
    #[must_use]
    pub fn after_write(self, partitions: u32, end: &Result<StoreVersion, StoreError>) -> Self {
        match end {
            Ok(_) => Self::Known(partitions),
            Err(_) => Self::Unread,
        }
    }
}

/// The layout as it is stored.
#[must_use]
pub fn encode(partitions: u32) -> Bytes {
    Bytes::from(partitions.to_string())
}

/// What the first write of a layout expects.
pub const EXPECT: Precondition = Precondition::Absent;

fn parse(value: &[u8]) -> Option<u32> {
    let partitions = std::str::from_utf8(value).ok()?.parse().ok()?;
    (partitions > 0).then_some(partitions)
}
