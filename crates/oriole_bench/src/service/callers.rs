//! Which entry a caller sends to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_routing::prelude::*;
use oriole_types::prelude::*;

use super::setup::entry_name;

/// Callers of each account.
pub const CALLERS: u64 = 12;

/// Time after which entries know that one of them died.
const DEATH_KNOWN_AFTER: Duration = Duration::from_secs(6);

/// Callers that ask which entries to use, keep the answer for its lifetime, and go on to the next
/// address when one does not answer.
#[derive(Default)]
pub struct Callers {
    answers: EndpointSelector,
    kept: BTreeMap<(AccountName, u64), Kept>,
    deaths: BTreeMap<VmName, Duration>,
}

struct Kept {
    endpoints: Vec<VmName>,
    until: Duration,
    next: usize,
}

impl Callers {
    /// Notes that an entry died.
    pub fn died(&mut self, now: Duration, entry: usize) {
        self.deaths.insert(entry_name(entry), now);
    }

    /// Number of entries that an account is steered to.
    pub fn holders(&self, list: &VmList, catalog: &Catalog, account: &AccountName) -> usize {
        let (away, room) = (BTreeSet::new(), BTreeMap::new());
        let view = EndpointInputs {
            list,
            catalog,
            unavailable: &away,
            headroom: &room,
        };
        self.answers.subset(&view, account).len()
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
        let who = (account.clone(), caller);
        if self.kept.get(&who).is_none_or(|k| k.until <= now) {
            let kept = self.ask(now, list, catalog, account, caller);
            self.kept.insert(who.clone(), kept);
        }
        let kept = &self.kept[&who];
        kept.endpoints[kept.next % kept.endpoints.len()].clone()
    }

    /// The entry that a caller used did not answer: it goes on to the next.
    pub fn failed(&mut self, account: &AccountName, caller: u64, entry: &VmName) {
        if let Some(kept) = self.kept.get_mut(&(account.clone(), caller))
            && kept.endpoints[kept.next % kept.endpoints.len()] == *entry
        {
            kept.next += 1;
        }
    }

    fn ask(
        &self,
        now: Duration,
        list: &VmList,
        catalog: &Catalog,
        account: &AccountName,
        caller: u64,
    ) -> Kept {
        let known = |at: &Duration| now.saturating_sub(*at) >= DEATH_KNOWN_AFTER;
        let away = self
            .deaths
            .iter()
            .filter(|(_, at)| known(at))
            .map(|(vm, _)| vm.clone());
        let (away, room) = (away.collect(), BTreeMap::new());
        let view = EndpointInputs {
            list,
            catalog,
            unavailable: &away,
            headroom: &room,
        };
        let answer = self.answers.answer(&view, account, caller);
        let ttl = Duration::from_millis(answer.ttl_ms.into());
        let endpoints = answer.endpoints.into_iter().map(|e| e.vm).collect();
        Kept {
            endpoints,
            until: now + ttl,
            next: 0,
        }
    }
}
