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
const TICK: Duration = Duration::from_millis(100);

/// Longest time that a message may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Which other entries live.
pub struct Liveness {
    clock: Clock,
    detector: Mutex<Detector>,
}

impl Liveness {
    /// A detector for this entry.
    #[must_use]
    pub fn open(clock: Clock, me: VmName, incarnation: Incarnation) -> Self {
        let detector = Detector::new(MembershipConfig::default(), me, incarnation);
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
    pub fn leave(&self) {
        self.lock().leave();
    }

    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes in a message of another entry.
pub(crate) fn take_in(state: &Arc<EntryState>, from: &VmName, message: &Message) {
    let now = state.clock.now();
    let sends = state.liveness.lock().on_message(now, from, message);
    send_all(state, sends);
}

/// Probes other entries and keeps the view of who is away.
pub(crate) async fn watch(state: Arc<EntryState>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = state.clock.now();
        let (sends, away) = {
            let mut detector = state.liveness.lock();
            let sends = detector.tick(now, &mut rand::rng());
            (sends, detector.away())
        };
        state.fleet.set_away(away);
        send_all(&state, sends);
    }
}

fn send_all(state: &Arc<EntryState>, sends: Vec<OutgoingMessage>) {
    for send in sends {
        let state = Arc::clone(state);
        tokio::spawn(async move { send_one(&state, &send).await });
    }
}

/// Sends a message; one that is lost is part of what the detector reckons with.
async fn send_one(state: &EntryState, send: &OutgoingMessage) {
    let Some(addr) = state.fleet.peer_address(&send.to) else {
        return;
    };
    let Ok(channel) = state.channels.get(addr).await else {
        return;
    };
    let payload = send.message.encode_to_vec().into();
    if channel
        .call(MEMBERSHIP_SERVICE, payload, SEND_TIMEOUT)
        .await
        .is_err()
    {
        metrics::counter!("oriole_membership_lost_total").increment(1);
    }
}
