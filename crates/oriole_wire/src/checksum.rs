//! Running checksum that verifies that an answer is complete.

use xxhash_rust::xxh3::Xxh3;

/// Checksum of the chunks of an attempt's answer, in order.
///
/// It detects chunks that are lost, repeated, reordered or mixed up between requests. It does not
/// protect against forgery; peers are authenticated in the handshake.
#[derive(Clone)]
pub struct Checksum {
    hasher: Xxh3,
}

impl Checksum {
    /// Creates the checksum of an attempt without chunks. It depends on the attempt, so that an
    /// answer delivered to the wrong request or attempt is detected.
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

    /// The checksum of all chunks added so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.hasher.digest()
    }
}
