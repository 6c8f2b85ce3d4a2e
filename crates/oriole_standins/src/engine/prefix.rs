//! Cache of prompt prefixes in limited memory, oldest use dropped first.

use std::collections::VecDeque;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;

/// Prefixes that were used lately.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
        }
    }

    /// Notes the use of a prompt's prefix and says whether it was cached.
    pub(crate) fn touch(&mut self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
        let index = self.prefixes.iter().position(|p| p == prefix);
        let cached = index.and_then(|i| self.prefixes.remove(i));
        let hit = cached.is_some();
        self.prefixes.push_back(cached.unwrap_or(prefix.to_vec()));
        while self.prefixes.len() > self.capacity {
            self.prefixes.pop_front();
        }
        hit
    }

    /// Forgets everything, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
    }
}
