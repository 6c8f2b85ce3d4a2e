//! Bodies in blocks of known capacity.

use bytes::{Bytes, BytesMut};

/// Capacity of a block, in bytes. Larger ones waste more of the last block, smaller ones cost more
/// allocations: a body of 4 MiB takes 256.
pub const BLOCK_BYTES: usize = 16 * 1024;

/// A body that is being received. Bytes are copied into blocks, so that a body in small chunks costs
/// what its bytes cost and keeps no read buffer alive.
///
/// ```
/// use oriole_memory::blocks::{BLOCK_BYTES, BlockBuffer};
/// let mut buf = BlockBuffer::with_length(Some(3));
/// assert_eq!(buf.missing_capacity(3), 3);
/// buf.extend(b"abc");
/// assert_eq!(buf.missing_capacity(1), BLOCK_BYTES);
/// assert_eq!(buf.freeze().iter().next().unwrap(), &b"abc"[..]);
/// ```
#[derive(Debug, Default)]
pub struct BlockBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
    /// Capacity of the first block.
    first: usize,
    len: usize,
}

impl BlockBuffer {
    /// An empty body. If its length is known and small, the only block has that length.
    #[must_use]
    pub fn with_length(len: Option<u64>) -> Self {
        let len = len.and_then(|len| usize::try_from(len).ok());
        Self {
            first: len.map_or(BLOCK_BYTES, |len| len.clamp(1, BLOCK_BYTES)),
            ..Self::default()
        }
    }

    /// Bytes received.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing was received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that [`BlockBuffer::extend`] allocates for `len` further bytes.
    #[must_use]
    pub fn missing_capacity(&self, len: usize) -> usize {
        let mut missing = len.saturating_sub(self.room());
        let mut capacity = 0;
        if missing > 0 && self.len + self.room() == 0 {
            capacity = self.first;
            missing = missing.saturating_sub(self.first);
        }
        capacity + missing.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.room() == 0 {
                let is_first = self.len == 0;
                let capacity = if is_first { self.first } else { BLOCK_BYTES };
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
                if !full.is_empty() {
                    self.full.push(full.freeze());
                }
            }
            let (now, rest) = data.split_at(data.len().min(self.room()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            data = rest;
        }
    }

    /// The whole body.
    #[must_use]
    pub fn freeze(mut self) -> Blocks {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Blocks {
            blocks: self.full,
            len: self.len,
        }
    }

    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }
}

/// A body that was received whole. Clones share the bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blocks {
    blocks: Vec<Bytes>,
    len: usize,
}

impl Blocks {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The blocks in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Bytes> {
        self.blocks.iter()
    }
}

impl IntoIterator for Blocks {
    type Item = Bytes;
    type IntoIter = std::vec::IntoIter<Bytes>;

    fn into_iter(self) -> Self::IntoIter {
        self.blocks.into_iter()
    }
}

impl<'a> IntoIterator for &'a Blocks {
    type Item = &'a Bytes;
    type IntoIter = std::slice::Iter<'a, Bytes>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
