//! Failure detection among entries: runs the detector of `oriole_membership` over peer connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oriole_kernel::clock::Clock;
use oriole_membership::config::MembershipConfig;
use oriole_membership::detector::{Detector, OutgoingMessage};
use oriole_membership::message::Message;
use oriole_types::fleet::{VmList, VmRole};
use oriole_types::ids::{Incarnation, VmName};
use prost::Message as _;

use crate::state::EntryState;

/// Name of the peer service that receives the detector's messages.
pub const MEMBERSHIP_SERVICE: &str = "membership";

/// Interval between ticks of the detector.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of sending a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Detects which other entries are available.
pub struct LivenessMonitor {
    clock: Clock,
    detector: Mutex<Detector>,
}

impl LivenessMonitor {
    /// Creates the detector of this entry.
    #[must_use]
    pub fn new(clock: Clock, own_name: VmName, incarnation: Incarnation) -> Self {
        let detector = Detector::new(MembershipConfig::default(), own_name, incarnation);
        Self {
            clock,
            detector: Mutex::new(detector),
        }
    }

    /// Applies a newer VM list: its entries are the members.
    pub fn set_vm_list(&self, list: &VmList) {
        let now = self.clock.now();
        let entries = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        self.lock().set_members(now, entries.map(|vm| &vm.name));
    }

    /// Announces to the other entries that this one is leaving.
    pub fn announce_leaving(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a detector message from another entry.
pub(crate) fn handle_message(state: &Arc<EntryState>, from: &VmName, message: &Message) {
    let now = state.clock.now();
    let outgoing = state.liveness.lock().on_message(now, from, message);
    send_all(state, outgoing);
}

/// Ticks the detector and updates the set of unavailable entries.
pub(crate) async fn run_detector(state: Arc<EntryState>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = state.clock.now();
        let (outgoing, unavailable) = {
            let mut detector = state.liveness.lock();
            let outgoing = detector.tick(now, &mut rand::rng());
            (outgoing, detector.away())
        };
        state.fleet.set_unavailable_entries(unavailable);
        send_all(&state, outgoing);
    }
}

fn send_all(state: &Arc<EntryState>, outgoing: Vec<OutgoingMessage>) {
    for item in outgoing {
        let state = Arc::clone(state);
        tokio::spawn(async move { send_message(&state, &item).await });
    }
}

/// Sends a message without retries, because the detector tolerates lost messages.
async fn send_message(state: &EntryState, item: &OutgoingMessage) {
    let Some(addr) = state.fleet.peer_address(&item.to) else {
        return;
    };
    let Ok(channel) = state.channels.get(addr).await else {
        return;
    };
    let payload = item.message.encode_to_vec().into();
    if channel
        .call(MEMBERSHIP_SERVICE, payload, SEND_TIMEOUT)
        .await
        .is_err()
    {
        metrics::counter!("oriole_membership_lost_total").increment(1);
    }
}
