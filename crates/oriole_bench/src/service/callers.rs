//! Which entry a caller sends to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_routing::prelude::*;
use oriole_types::prelude::*;

use super::setup::entry_name;

/// Callers of each account.
pub const CALLERS_PER_ACCOUNT: u64 = 12;

/// Time after which entries know that one of them died.
const CRASH_DETECTION_DELAY: Duration = Duration::from_secs(6);

/// Callers that ask which entries to use, keep the answer for its lifetime, and go on to the next
/// address when one does not answer.
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
    /// Notes that an entry died.
    pub fn record_crash(&mut self, now: Duration, entry: usize) {
        self.crashed_at.insert(entry_name(entry), now);
    }

    /// Number of entries that an account is steered to.
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

    /// The entry that a caller uses now.
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

    /// The entry that a caller used did not answer: it goes on to the next.
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
