//! Which other entries live, by probing one a period and trading the news.

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

/// Name of the service that takes in messages about liveness.
pub const MEMBERSHIP_SERVICE: &str = "membership";

/// Time between two ticks of the detector.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a message may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Which other entries live.
pub struct LivenessMonitor {
    clock: Clock,
    detector: Mutex<Detector>,
}

impl LivenessMonitor {
    /// A detector for this entry.
    #[must_use]
    pub fn new(clock: Clock, own_name: VmName, incarnation: Incarnation) -> Self {
        let detector = Detector::new(MembershipConfig::default(), own_name, incarnation);
        Self {
            clock,
            detector: Mutex::new(detector),
        }
    }

    /// Takes in a newer VM list.
    pub fn set_list(&self, list: &VmList) {
        let now = self.clock.now();
        let entries = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        self.lock().set_members(now, entries.map(|vm| &vm.name));
    }

    /// Tells the others that this entry is leaving.
    pub fn announce_leaving(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes in a message of another entry.
pub(crate) fn handle_message(state: &Arc<EntryState>, from: &VmName, message: &Message) {
    let now = state.clock.now();
    let outgoing = state.liveness.lock().on_message(now, from, message);
    send_all(state, outgoing);
}

/// Probes other entries and keeps the view of who is away.
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

/// Sends a message; one that is lost is part of what the detector reckons with.
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
