//! Client accounts and their keys.

use std::collections::HashMap;

use oriole_types::prelude::*;

domain_type! {
    /// A client account.
    pub struct Account {
        /// Name, which upstreams are shown.
        pub name: String,
        /// Urgency that goes before the route's.
        pub priority: Option<u8>,
    }
}

/// Client accounts by the digest of each of their keys.
///
/// Keys themselves are not kept, so that they cannot reach a log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: HashMap<Digest, Account>,
    count: usize,
}

impl Accounts {
    /// Adds an account with its keys.
    pub fn add<'a>(&mut self, account: &Account, keys: impl Iterator<Item = &'a str>) {
        self.count += 1;
        for key in keys {
            self.by_key
                .insert(Digest::of(key.as_bytes()), account.clone());
        }
    }

    /// The account that holds a key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Account> {
        self.by_key.get(&Digest::of(key.as_bytes()))
    }

    /// Whether the configuration names no account; then no request needs a key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
