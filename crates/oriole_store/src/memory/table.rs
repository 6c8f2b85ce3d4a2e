//! Values and leases of the in-process store, without latency and faults.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use crate::error::StoreError;
use crate::store::{LeaseId, MAX_VALUE_BYTES, Precondition, StoreVersion, Versioned};

/// The contents of the store. Points in time are durations since the store was opened.
#[derive(Debug, Default)]
pub(super) struct Table {
    last_version: StoreVersion,
    last_lease: LeaseId,
    slots: HashMap<String, Slot>,
    leases: BTreeMap<LeaseId, Lease>,
}

/// State of a key, which may be absent. A removed key keeps its version, so that watches notice the
/// removal.
#[derive(Debug)]
struct Slot {
    value: Option<Bytes>,
    version: watch::Sender<StoreVersion>,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// Result of a watch at the time it is checked.
pub(super) enum Watched {
    /// The key has changed since the watched version.
    Changed(Versioned),
    /// The key has not changed; the receiver is notified when it does.
    Waiting(watch::Receiver<StoreVersion>),
}

impl Default for Slot {
    fn default() -> Self {
        Self {
            value: None,
            version: watch::Sender::new(StoreVersion(0)),
            lease: None,
        }
    }
}

impl Slot {
    fn version(&self) -> StoreVersion {
        *self.version.borrow()
    }

    fn satisfies(&self, expect: Precondition) -> bool {
        match expect {
            Precondition::Absent => self.value.is_none(),
            Precondition::Version(v) => self.value.is_some() && self.version() == v,
            Precondition::Any => true,
        }
    }

    fn set(&mut self, value: Option<Bytes>, version: StoreVersion, lease: Option<LeaseId>) {
        self.value = value;
        self.lease = lease;
        self.version.send_replace(version);
    }
}

impl Table {
    pub(super) fn get(&self, key: &str) -> Option<Versioned> {
        let slot = self.slots.get(key)?;
        let value = slot.value.clone()?;
        let version = slot.version();
        Some(Versioned { value, version })
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return Err(StoreError::LeaseLapsed);
        }
        self.write(key, Some(value), expect, lease)
    }

    pub(super) fn delete(&mut self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.write(key, None, expect, None).map(drop)
    }

    fn write(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        expect: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<StoreVersion, StoreError> {
        let slot = self.slots.entry(key.to_owned()).or_default();
        if !slot.satisfies(expect) {
            return Err(StoreError::Conflict);
        }
        self.last_version = self.last_version.next();
        slot.set(value, self.last_version, lease);
        Ok(self.last_version)
    }

    pub(super) fn watch(&mut self, key: &str, after: StoreVersion) -> Watched {
        let slot = self.slots.entry(key.to_owned()).or_default();
        if slot.version() <= after {
            return Watched::Waiting(slot.version.subscribe());
        }
        Watched::Changed(Versioned {
            value: slot.value.clone().unwrap_or_default(),
            version: slot.version(),
        })
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration, now: Duration) -> LeaseId {
        self.last_lease = self.last_lease.next();
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, expires_at });
        self.last_lease
    }

    pub(super) fn renew_lease(&mut self, id: LeaseId, now: Duration) -> Result<(), StoreError> {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseLapsed)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Removes expired leases and the values written with them.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let expired: Vec<_> = self
            .leases
            .extract_if(.., |_, lease| lease.expires_at <= now)
            .map(|(id, _)| id)
            .collect();
        if expired.is_empty() {
            return;
        }
        for slot in self.slots.values_mut() {
            if slot.lease.is_some_and(|l| expired.contains(&l)) {
                self.last_version = self.last_version.next();
                slot.set(None, self.last_version, None);
            }
        }
    }

    /// When the next lease expires, if none is renewed.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.leases.values().map(|l| l.expires_at).min()
    }
}
