//! What a pool has left and which classes that still serves.

use std::collections::BTreeMap;

use oriole_types::prelude::*;

/// Load up to which low requests are admitted while capacity is short, as a part of what is left;
/// above one, requests wait at the upstreams already.
const LOW_SHARE: f64 = 1.1;

/// The same for normal requests.
const NORMAL_SHARE: f64 = 1.25;

/// Part of the stated capacity below which capacity counts as short.
const SHORT_BELOW: f64 = 0.75;

domain_type! {
    /// Capacity of one pool, in requests in flight.
    #[derive(Copy, Default)]
    pub struct PoolCapacity {
        /// Upstreams that take new work.
        pub upstreams: u32,
        /// Stated capacity of all listed upstreams when warm.
        pub stated: u64,
        /// Capacity of the upstreams that take new work, as far as they admit now.
        pub left: u64,
        /// Requests believed in flight there.
        pub in_flight: u64,
    }
}

impl PoolCapacity {
    /// Part of the stated capacity that is left, between 0 and 1.
    #[must_use]
    pub fn share_left(&self) -> f64 {
        self.left as f64 / self.stated.max(1) as f64
    }

    /// Whether much of the stated capacity is out of service.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.share_left() < SHORT_BELOW
    }

    /// Whether a request of some class should be taken in.
    ///
    /// While capacity is short, low requests are refused first, then normal ones, so that what is
    /// left stays free for the more urgent ones.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoUpstream`] or [`RefusalReason::NoCapacity`].
    pub fn admit(&self, priority: Priority) -> Result<(), RefusalReason> {
        if self.upstreams == 0 {
            return Err(RefusalReason::NoUpstream);
        }
        if !self.is_short() || (self.in_flight as f64) < self.class_limit(priority) {
            return Ok(());
        }
        Err(RefusalReason::NoCapacity)
    }

    /// Requests in flight up to which a class is admitted while capacity is short.
    fn class_limit(&self, priority: Priority) -> f64 {
        let left = self.left as f64;
        match priority {
            Priority::High => f64::INFINITY,
            Priority::Normal => left * NORMAL_SHARE,
            Priority::Low => left * LOW_SHARE,
        }
    }
}

/// Capacity of every pool; use it for status pages and for refusals that say what is left.
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
    /// Takes in the capacity of a pool.
    pub fn set(&mut self, pool: PoolName, capacity: PoolCapacity) {
        self.pools.insert(pool, capacity);
    }

    /// Capacity of a pool; nothing if it is unknown.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> PoolCapacity {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    /// All pools with their capacity.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolCapacity)> {
        self.pools.iter()
    }

    /// What is left of a pool, as a refused caller or an operator reads it.
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
