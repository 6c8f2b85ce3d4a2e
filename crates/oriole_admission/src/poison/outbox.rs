//! What each peer has been told of crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::ids::{Incarnation, VmName};

use super::{PoisonDigest, PoisonLedger};

/// What each peer has been told, so that only news is sent.
///
/// A peer that restarted has forgotten everything and is told it all again; so is one whose message
/// was lost, after [`PoisonOutbox::delivery_failed`].
#[derive(Clone, Debug, Default)]
pub struct PoisonOutbox {
    told: BTreeMap<VmName, (Incarnation, u64)>,
}

impl PoisonOutbox {
    /// What a run of a peer has not been told; it counts as told from now on.
    pub fn next_digest(
        &mut self,
        now: Duration,
        ledger: &PoisonLedger,
        peer: &VmName,
        run: Incarnation,
    ) -> PoisonDigest {
        let since = match self.told.get(peer) {
            Some((told_run, version)) if *told_run == run => *version,
            _ => 0,
        };
        let (digest, version) = ledger.digest_since(now, since);
        self.told.insert(peer.clone(), (run, version));
        digest
    }

    /// Notes that the last message to a peer may not have arrived.
    pub fn delivery_failed(&mut self, peer: &VmName) {
        self.told.remove(peer);
    }
}
