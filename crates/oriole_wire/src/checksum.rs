//! The running checksum by which a whole answer is recognised.

use xxhash_rust::xxh3::Xxh3;

/// Checksum over the chunks of one attempt's answer, in order.
///
/// It guards against chunks that are lost, repeated, reordered or mixed up between requests. It is
/// no defence against a peer that forges it; peers are authenticated by the handshake.
#[derive(Clone)]
pub struct Checksum {
    hasher: Xxh3,
}

impl Checksum {
    /// The checksum of an attempt without chunks; each attempt has one of its own, so that an
    /// answer handed to another request is noticed.
    #[must_use]
    pub fn new(request: u64, attempt: u32) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&request.to_be_bytes());
        hasher.update(&attempt.to_be_bytes());
        Self { hasher }
    }

    /// Adds a chunk.
    pub fn update(&mut self, data: &[u8]) {
        self.hasher.update(data);
    }

    /// The checksum of all chunks so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.hasher.digest()
    }
}
