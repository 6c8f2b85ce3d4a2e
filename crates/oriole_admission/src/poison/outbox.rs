//! Tracks which crashes have been sent to each peer.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::ids::{Incarnation, VmName};

use super::{PoisonDigest, PoisonLedger};

/// Tracks what has been sent to each peer, so that only changes are sent.
///
/// A peer that restarted has lost everything and is sent all records again; so is a peer to which a
/// message was lost, after [`PoisonOutbox::delivery_failed`].
#[derive(Clone, Debug, Default)]
pub struct PoisonOutbox {
    /// Run of the peer, and the ledger version up to which it was sent everything.
    sent: BTreeMap<VmName, (Incarnation, u64)>,
}

impl PoisonOutbox {
    /// The records that have not been sent to this run of a peer; they count as sent from now on.
    pub fn next_digest(
        &mut self,
        now: Duration,
        ledger: &PoisonLedger,
        peer: &VmName,
        run: Incarnation,
    ) -> PoisonDigest {
        let since = match self.sent.get(peer) {
            Some((sent_to_run, version)) if *sent_to_run == run => *version,
            _ => 0,
        };
        let (digest, version) = ledger.digest_since(now, since);
        self.sent.insert(peer.clone(), (run, version));
        digest
    }

    /// Records that the last message to a peer may not have arrived: everything is sent again.
    pub fn delivery_failed(&mut self, peer: &VmName) {
        self.sent.remove(peer);
    }
}
