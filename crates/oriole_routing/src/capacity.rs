//! Remaining capacity of pools, and which priorities a pool still admits.

use std::collections::BTreeMap;

use oriole_types::prelude::*;

/// Highest load at which low-priority requests are admitted while capacity is short, as a fraction
/// of the remaining capacity. Above 1, requests already wait at the upstreams.
const LOW_MAX_LOAD: f64 = 1.1;

/// Same as [`LOW_MAX_LOAD`], for normal requests.
const NORMAL_MAX_LOAD: f64 = 1.25;

/// Capacity is short while less than this fraction of the stated capacity remains.
const SHORT_BELOW_SHARE: f64 = 0.75;

domain_type! {
    /// Capacity and load of one pool as one entry estimates them, in requests in flight.
    #[derive(Copy, Default)]
    pub struct PoolCapacity {
        /// Number of upstreams that accept new work.
        pub upstreams: u32,
        /// Capacity of all listed upstreams when warm, as the catalog states it.
        pub stated: u64,
        /// Sum of the current limits of the upstreams that accept new work.
        pub left: u64,
        /// Estimated number of requests at those upstreams, running and waiting.
        pub in_flight: u64,
    }
}

impl PoolCapacity {
    /// Remaining fraction of the stated capacity, between 0 and 1.
    #[must_use]
    pub fn available_share(&self) -> f64 {
        self.left as f64 / self.stated.max(1) as f64
    }

    /// Whether a large part of the stated capacity is unavailable.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.available_share() < SHORT_BELOW_SHARE
    }

    /// Admits or refuses a request of the given priority.
    ///
    /// While capacity is short, low-priority requests are refused first and normal ones next, which
    /// keeps the remaining slots free for more urgent requests.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoUpstream`] if no upstream accepts work, [`RefusalReason::NoCapacity`] if
    /// capacity is short and the load is too high for the priority.
    pub fn admit(&self, priority: Priority) -> Result<(), RefusalReason> {
        if self.upstreams == 0 {
            return Err(RefusalReason::NoUpstream);
        }
        if !self.is_short() || (self.in_flight as f64) < self.priority_limit(priority) {
            return Ok(());
        }
        Err(RefusalReason::NoCapacity)
    }

    /// Requests in flight below which a priority is admitted while capacity is short.
    fn priority_limit(&self, priority: Priority) -> f64 {
        let left = self.left as f64;
        match priority {
            Priority::High => f64::INFINITY,
            Priority::Normal => left * NORMAL_MAX_LOAD,
            Priority::Low => left * LOW_MAX_LOAD,
        }
    }
}

/// Capacity of every pool, for status pages and for the text of refusals.
///
/// ```
/// use oriole_routing::capacity::{CapacityView, PoolCapacity};
/// let mut view = CapacityView::default();
/// let pool = PoolCapacity { upstreams: 5, stated: 160, left: 50, in_flight: 49 };
/// view.set("models".into(), pool);
/// assert_eq!(view.describe(&"models".into()), "5 upstreams in service, 50 of 160 slots left, 49 used");
/// ```
#[derive(Clone, Debug, Default)]
pub struct CapacityView {
    pools: BTreeMap<PoolName, PoolCapacity>,
}

impl CapacityView {
    /// Sets the capacity of a pool.
    pub fn set(&mut self, pool: PoolName, capacity: PoolCapacity) {
        self.pools.insert(pool, capacity);
    }

    /// Capacity of a pool; all zeros if the pool is unknown.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> PoolCapacity {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// All pools and their capacity, in order of name.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolCapacity)> {
        self.pools.iter()
    }

    /// Describes the remaining capacity of a pool, for refused callers and operators.
    #[must_use]
    pub fn describe(&self, pool: &PoolName) -> String {
        let c = self.pool(pool);
        let PoolCapacity {
            upstreams,
            stated,
            left,
            in_flight,
        } = c;
        format!("{upstreams} upstreams in service, {left} of {stated} slots left, {in_flight} used")
    }
}
