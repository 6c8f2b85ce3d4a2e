//! An entry's share of a limit of the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

/// Part of a limit that is spread evenly whatever the demand, so that an idle entry can admit the
/// first requests of an account at once.
const FIXED_PART: f64 = 0.2;

domain_type! {
    /// What one entry saw of one account or catalog entry.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Requests offered a second, in thousandths.
        pub offered_milli: u32,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

domain_type! {
    /// What one entry tells its peers about limits; names with little usage are left out.
    #[derive(Default)]
    pub struct LimitDigest {
        /// Usage by account.
        #[serde(default)]
        pub accounts: BTreeMap<AccountName, Usage>,
        /// Usage by catalog entry.
        #[serde(default)]
        pub entries: BTreeMap<EntryName, Usage>,
    }
}

impl Usage {
    /// Requests offered a second.
    #[must_use]
    pub fn offered(&self) -> f64 {
        f64::from(self.offered_milli) / 1000.0
    }

    /// Usage with so many requests offered a second.
    #[must_use]
    pub fn new(offered: f64, in_flight: u32) -> Self {
        let offered_milli = (offered * 1000.0).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        Self {
            offered_milli,
            in_flight,
        }
    }
}

/// What peers said about one account or catalog entry.
#[derive(Clone, Debug, Default)]
pub struct PeerUsage {
    peers: BTreeMap<VmName, (Duration, Usage)>,
}

impl PeerUsage {
    /// Takes in what a peer said.
    pub fn note(&mut self, now: Duration, peer: &VmName, usage: Usage) {
        self.peers.insert(peer.clone(), (now, usage));
    }

    /// Forgets what is older than some time.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.peers
            .retain(|_, (at, _)| now.saturating_sub(*at) < ttl);
    }

    /// Sum over all peers.
    #[must_use]
    pub fn total(&self) -> (f64, f64) {
        self.peers
            .values()
            .fold((0.0, 0.0), |(offered, in_flight), (_, u)| {
                (offered + u.offered(), in_flight + f64::from(u.in_flight))
            })
    }

    /// Number of peers that said anything.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer said anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

/// The share of a limit that an entry enforces.
///
/// `holders` is the number of entries that share the limit, `own` this entry's demand and `peers`
/// the demand of the others. The shares of all holders add up to the limit.
///
/// ```
/// use oriole_routing::limits::share::share_of;
/// let busy = share_of(100.0, 4, 60.0, 20.0);
/// let idle = share_of(100.0, 4, 0.0, 80.0);
/// assert_eq!((busy, idle), (65.0, 5.0));
/// ```
#[must_use]
pub fn share_of(limit: f64, holders: usize, own: f64, peers: f64) -> f64 {
    let holders = holders.max(1) as f64;
    let demand = own + peers;
    if demand <= 0.0 {
        return limit / holders;
    }
    limit * FIXED_PART / holders + limit * (1.0 - FIXED_PART) * own / demand
}
