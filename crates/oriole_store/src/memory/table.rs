//! Values and leases of the in-process store, without I/O.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use crate::error::StoreError;
use crate::store::{LeaseId, MAX_VALUE_BYTES, Precondition, StoreVersion, Versioned};

/// Everything the store holds. Time is the time since the store was opened.
#[derive(Debug, Default)]
pub(super) struct Table {
    version: StoreVersion,
    last_lease: LeaseId,
    slots: HashMap<String, Slot>,
    leases: BTreeMap<LeaseId, Lease>,
}

/// One key, present or removed. A removed one keeps its version so that watches see the removal.
#[derive(Debug)]
struct Slot {
    value: Option<Bytes>,
    version: watch::Sender<StoreVersion>,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    lapses_at: Duration,
}

/// State of a watched key.
pub(super) enum Watched {
    /// It changed.
    Changed(Versioned),
    /// It did not; the receiver tells when it does.
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

    fn is_as(&self, expect: Precondition) -> bool {
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
        if !slot.is_as(expect) {
            return Err(StoreError::Conflict);
        }
        self.version = self.version.next();
        slot.set(value, self.version, lease);
        Ok(self.version)
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
        let lapses_at = now + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, lapses_at });
        self.last_lease
    }

    pub(super) fn renew_lease(&mut self, id: LeaseId, now: Duration) -> Result<(), StoreError> {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseLapsed)?;
        lease.lapses_at = now + lease.ttl;
        Ok(())
    }

    /// Removes lapsed leases and what was written under them.
    pub(super) fn lapse(&mut self, now: Duration) {
        let lapsed: Vec<_> = self
            .leases
            .extract_if(.., |_, lease| lease.lapses_at <= now)
            .map(|(id, _)| id)
            .collect();
        if lapsed.is_empty() {
            return;
        }
        for slot in self.slots.values_mut() {
            if slot.lease.is_some_and(|l| lapsed.contains(&l)) {
                self.version = self.version.next();
                slot.set(None, self.version, None);
            }
        }
    }

    /// When the next lease lapses, if none is renewed.
    pub(super) fn next_lapse(&self) -> Option<Duration> {
        self.leases.values().map(|l| l.lapses_at).min()
    }
}
