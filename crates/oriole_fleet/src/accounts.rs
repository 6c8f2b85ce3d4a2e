//! Client accounts and their keys.

use std::collections::HashMap;

use oriole_types::prelude::*;

domain_type! {
    /// A client account.
    pub struct Account {
        /// Name, sent to upstreams with each request of the account.
        pub name: String,
        /// Priority that overrides the route's; zero is the most urgent.
        pub priority: Option<u8>,
    }
}

/// Client accounts, indexed by the digests of their keys.
///
/// The keys themselves are not stored, so they cannot leak into a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key_digest: HashMap<Digest, Account>,
    count: usize,
}

impl Accounts {
    /// Adds an account with its keys.
    pub fn add<'a>(&mut self, account: &Account, keys: impl Iterator<Item = &'a str>) {
        self.count += 1;
        for key in keys {
            self.by_key_digest
                .insert(Digest::of(key.as_bytes()), account.clone());
        }
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Account> {
        self.by_key_digest.get(&Digest::of(key.as_bytes()))
    }

    /// Whether the configuration has no accounts; no request needs a key then.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
