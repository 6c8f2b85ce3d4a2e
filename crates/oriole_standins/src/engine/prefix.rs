//! Cache of prompt prefixes that evicts the least recently used one.

use std::collections::VecDeque;

/// Length of a prefix; shorter prompts count as a whole.
const PREFIX_BYTES: usize = 64;

/// The most recently used prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// Least recently used first.
    prefixes: VecDeque<Vec<u8>>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
        }
    }

    /// Marks a prompt's prefix as just used and returns whether it was cached.
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

    /// Empties the cache, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
    }
}
