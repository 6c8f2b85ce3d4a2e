//! The share of a fleet-wide limit that one entry enforces.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

/// Fraction of a limit that is divided evenly whatever the demand, so that an idle entry can admit
/// the first requests of an account at once.
const EVEN_PART: f64 = 0.2;

domain_type! {
    /// Usage of one account or catalog entry at one entry.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Requests offered per second, admitted or not, in thousandths.
        pub offered_milli: u32,
        /// Requests in flight.
        pub in_flight: u32,
    }
}

domain_type! {
    /// Usage that an entry reports to its peers; accounts and catalog entries with little usage are
    /// left out.
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
    /// Requests offered per second.
    #[must_use]
    pub fn offered(&self) -> f64 {
        f64::from(self.offered_milli) / 1000.0
    }

    /// Creates a usage from the requests offered per second and the requests in flight.
    #[must_use]
    pub fn new(offered: f64, in_flight: u32) -> Self {
        let offered_milli = (offered * 1000.0).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        Self {
            offered_milli,
            in_flight,
        }
    }
}

/// Usage of one account or catalog entry as peers last reported it.
#[derive(Clone, Debug, Default)]
pub struct PeerUsage {
    /// Last report of each peer and when it arrived.
    peers: BTreeMap<VmName, (Duration, Usage)>,
}

impl PeerUsage {
    /// Replaces the usage reported by a peer.
    pub fn record(&mut self, now: Duration, peer: &VmName, usage: Usage) {
        self.peers.insert(peer.clone(), (now, usage));
    }

    /// Drops reports that are `ttl` old or older.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.peers
            .retain(|_, (reported_at, _)| now.saturating_sub(*reported_at) < ttl);
    }

    /// Sums over all peers: requests offered per second and requests in flight.
    #[must_use]
    pub fn total(&self) -> (f64, f64) {
        self.peers
            .values()
            .fold((0.0, 0.0), |(offered, in_flight), (_, u)| {
                (offered + u.offered(), in_flight + f64::from(u.in_flight))
            })
    }

    /// Number of peers with a report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there is no report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

/// The share of a limit that an entry enforces.
///
/// `sharers` is the number of entries that share the limit, `own` the demand at this entry and
/// `peers` the demand at the others. The shares of all entries add up to the limit.
///
/// ```
/// use oriole_routing::limits::share::limit_share;
/// let busy = limit_share(100.0, 4, 60.0, 20.0);
/// let idle = limit_share(100.0, 4, 0.0, 80.0);
/// assert_eq!((busy, idle), (65.0, 5.0));
/// ```
#[must_use]
pub fn limit_share(limit: f64, sharers: usize, own: f64, peers: f64) -> f64 {
    let sharers = sharers.max(1) as f64;
    let demand = own + peers;
    if demand <= 0.0 {
        return limit / sharers;
    }
    limit * EVEN_PART / sharers + limit * (1.0 - EVEN_PART) * own / demand
}
