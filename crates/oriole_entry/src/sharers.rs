//! Which entries share the limits of which accounts with this one.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use oriole_routing::limits::LimitDigest;
use oriole_types::ids::{AccountName, VmName};

/// Which entries share the limits of which accounts with this one.
///
/// Entries send each other only the usage of accounts whose endpoint answers name both of them.
#[derive(Default)]
pub struct LimitSharers {
    by_peer: Mutex<BTreeMap<VmName, BTreeSet<AccountName>>>,
}

impl LimitSharers {
    /// Replaces the sharers of all accounts: `sharers` holds the entries that each account's
    /// endpoint answers name.
    pub fn set(&self, own_name: &VmName, sharers: &[(AccountName, Vec<VmName>)]) {
        let mut by_peer: BTreeMap<VmName, BTreeSet<AccountName>> = BTreeMap::new();
        for (account, vms) in sharers.iter().filter(|(_, vms)| vms.contains(own_name)) {
            for peer in vms.iter().filter(|vm| *vm != own_name) {
                by_peer
                    .entry(peer.clone())
                    .or_default()
                    .insert(account.clone());
            }
        }
        *self.by_peer.lock().unwrap_or_else(PoisonError::into_inner) = by_peer;
    }

    /// Splits the digest into the part for each peer, omitting peers that share no account in it.
    #[must_use]
    pub fn split_by_peer(&self, digest: &LimitDigest) -> Vec<(VmName, LimitDigest)> {
        let by_peer = self.by_peer.lock().unwrap_or_else(PoisonError::into_inner);
        by_peer
            .iter()
            .map(|(peer, accounts)| (peer.clone(), digest_for(digest, accounts)))
            .filter(|(_, shared)| !shared.accounts.is_empty())
            .collect()
    }
}

/// The part of a digest that concerns these accounts.
fn digest_for(digest: &LimitDigest, accounts: &BTreeSet<AccountName>) -> LimitDigest {
    let shared = digest
        .accounts
        .iter()
        .filter(|(account, _)| accounts.contains(*account));
    LimitDigest {
        accounts: shared.map(|(a, u)| (a.clone(), *u)).collect(),
        entries: digest.entries.clone(),
    }
}
