//! Chooses the entry that a caller sends to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_routing::prelude::*;
use oriole_types::prelude::*;

use super::setup::entry_name;

/// Callers per account.
pub const CALLERS_PER_ACCOUNT: u64 = 12;

/// Time until the endpoint lists leave out a crashed entry.
const CRASH_DETECTION_DELAY: Duration = Duration::from_secs(6);

/// Callers that request an endpoint list, cache it for its lifetime, and move on to the next
/// address when one does not respond.
#[derive(Default)]
pub struct Callers {
    selector: EndpointSelector,
    cached: BTreeMap<(AccountName, u64), CachedEndpoints>,
    crashed_at: BTreeMap<VmName, Duration>,
}

struct CachedEndpoints {
    endpoints: Vec<VmName>,
    expires_at: Duration,
    next: usize,
}

impl Callers {
    /// Records that an entry crashed.
    pub fn record_crash(&mut self, now: Duration, entry: usize) {
        self.crashed_at.insert(entry_name(entry), now);
    }

    /// Returns the number of entries that serve an account.
    pub fn sharers(&self, list: &VmList, catalog: &Catalog, account: &AccountName) -> usize {
        let (unavailable, headroom) = (BTreeSet::new(), BTreeMap::new());
        let inputs = EndpointInputs {
            list,
            catalog,
            unavailable: &unavailable,
            headroom: &headroom,
        };
        self.selector.subset(&inputs, account).len()
    }

    /// Returns the entry that a caller currently uses.
    pub fn entry(
        &mut self,
        now: Duration,
        list: &VmList,
        catalog: &Catalog,
        account: &AccountName,
        caller: u64,
    ) -> VmName {
        let caller_id = (account.clone(), caller);
        if self
            .cached
            .get(&caller_id)
            .is_none_or(|k| k.expires_at <= now)
        {
            let cached = self.select_endpoints(now, list, catalog, account, caller);
            self.cached.insert(caller_id.clone(), cached);
        }
        let cached = &self.cached[&caller_id];
        cached.endpoints[cached.next % cached.endpoints.len()].clone()
    }

    /// Moves a caller on to its next entry because `entry` did not respond.
    pub fn on_connect_failure(&mut self, account: &AccountName, caller: u64, entry: &VmName) {
        if let Some(cached) = self.cached.get_mut(&(account.clone(), caller))
            && cached.endpoints[cached.next % cached.endpoints.len()] == *entry
        {
            cached.next += 1;
        }
    }

    fn select_endpoints(
        &self,
        now: Duration,
        list: &VmList,
        catalog: &Catalog,
        account: &AccountName,
        caller: u64,
    ) -> CachedEndpoints {
        let detected = |at: &Duration| now.saturating_sub(*at) >= CRASH_DETECTION_DELAY;
        let unavailable = self
            .crashed_at
            .iter()
            .filter(|(_, at)| detected(at))
            .map(|(vm, _)| vm.clone());
        let (unavailable, headroom) = (unavailable.collect(), BTreeMap::new());
        let inputs = EndpointInputs {
            list,
            catalog,
            unavailable: &unavailable,
            headroom: &headroom,
        };
        let answer = self.selector.answer(&inputs, account, caller);
        let ttl = Duration::from_millis(answer.ttl_ms.into());
        let endpoints = answer.endpoints.into_iter().map(|e| e.vm).collect();
        CachedEndpoints {
            endpoints,
            expires_at: now + ttl,
            next: 0,
        }
    }
}
