//! Suspect and quarantined content, as reported by agents.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use oriole_admission::poison::{ContentStatus, PoisonDigest, PoisonLedger, PoisonOutbox};
use oriole_kernel::clock::Clock;
use oriole_types::digest::Digest;
use oriole_types::ids::{Incarnation, VmName};
use oriole_types::outcome::RefusalReason;

use crate::answer::Refusal;

/// Tracks content that crashes upstreams.
///
/// Agents detect such content. The entry forwards their records to other agents and refuses
/// quarantined content before it is sent to an agent.
pub struct PoisonTracker {
    clock: Clock,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    ledger: PoisonLedger,
    outbox: PoisonOutbox,
}

impl PoisonTracker {
    /// Creates a tracker with an empty ledger.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            inner: Mutex::default(),
        }
    }

    /// Checks that content is not in quarantine.
    ///
    /// # Errors
    ///
    /// Refuses quarantined content.
    pub fn check_not_quarantined(&self, content: &Digest) -> Result<(), Refusal> {
        if self.lock().ledger.status(content) != ContentStatus::Quarantined {
            return Ok(());
        }
        let message = "this content crashed upstreams and is quarantined";
        Err(Refusal::new(RefusalReason::Quarantined, message))
    }

    /// Whether content is known to have completed before.
    #[must_use]
    pub fn is_proven(&self, content: &Digest) -> bool {
        self.lock().ledger.status(content) == ContentStatus::Proven
    }

    /// Whether an upstream crashed while it ran the content.
    #[must_use]
    pub fn is_suspect(&self, content: &Digest) -> bool {
        self.lock().ledger.status(content) == ContentStatus::Suspect
    }

    /// Records that a request with this content completed.
    pub fn record_completion(&self, content: &Digest) {
        self.lock().ledger.record_completion(content, false);
    }

    /// The records that were not yet sent to this run of an agent, as JSON; empty if none.
    #[must_use]
    pub fn encode_for_peer(&self, peer: &VmName, run: Incarnation) -> Bytes {
        let now = self.clock.now();
        let digest = {
            let inner = &mut *self.lock();
            inner.outbox.next_digest(now, &inner.ledger, peer, run)
        };
        if digest.records.is_empty() {
            return Bytes::new();
        }
        serde_json::to_vec(&digest).unwrap_or_default().into()
    }

    /// Records that the last message to an agent may not have arrived, so that it is sent again.
    pub fn delivery_failed(&self, peer: &VmName) {
        self.lock().outbox.delivery_failed(peer);
    }

    /// Merges the records, as JSON, that an agent sent.
    pub fn merge(&self, payload: &[u8]) {
        if payload.is_empty() {
            return;
        }
        let now = self.clock.now();
        match serde_json::from_slice::<PoisonDigest>(payload) {
            Ok(digest) => {
                self.lock().ledger.merge(now, &digest);
            }
            Err(_) => metrics::counter!("oriole_poison_malformed_total").increment(1),
        }
    }

    /// Applies the contents that operators released, and expires old crashes.
    pub fn apply_released(&self, released: &[Digest]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.ledger.set_released(released);
        inner.ledger.tick(now);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
