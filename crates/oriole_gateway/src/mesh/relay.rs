//! Delivers changes from peers while this daemon's own watches are closed, as
//! [`crate::watch_relay`] decides, and keeps its role up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::futures::Notified;
use tokio_util::sync::CancellationToken;

use super::message::Heartbeat;
use super::{HEARTBEAT_INTERVAL, pull, take_over_confirmations};
use crate::decision_log::LogEvent;
use crate::fleet_view::PrefixRevisions;
use crate::freshness::Place;
use crate::gateway::Gateway;
use crate::watch_relay::{RetryAction, WatchRole};

/// Time for which a peer must be ahead before items of a closed watch are pulled from it. No own
/// watch is about to report them; the time lets further peers become candidates.
pub const CLOSED_PULL_DELAY: Duration = Duration::from_millis(50);

/// Revision that excludes a prefix from a pull: no item has a higher one.
const EXCLUDED: u64 = u64::MAX;

impl Gateway {
    /// Derives the role in watching the store from the membership view, and logs a change.
    pub fn update_watch_role(&self) {
        let now = self.clock.now();
        let position = self.members().relay_position(now, &self.cfg.domain);
        let change = self.watch_relay().on_position(now, position);
        let is_relay = self.watch_relay().role() == WatchRole::Relay;
        for name in self.dialect.watched_prefixes() {
            metrics::gauge!("oriole_store_watch_role", "prefix" => *name)
                .set(f64::from(u8::from(is_relay)));
        }
        let Some(change) = change else {
            return;
        };
        let position = change.position;
        self.log.event(&LogEvent::Store {
            now: change.role.name(),
            prefix: "",
            reason: &format!(
                "{}: {} daemons, position {} of {} in the failure domain",
                change.reason,
                position.daemons,
                position.ordinal + 1,
                position.domain_daemons,
            ),
            revision: 0,
        });
        if is_relay {
            self.promotion_wake.notify_waiters();
        }
    }

    /// This daemon's place in the order of confirming reads. Relays come first, because their views
    /// are the newest.
    pub(crate) fn confirming_place(&self) -> Place {
        let place = self.place();
        match self.watch_relay().role() {
            WatchRole::Relay => place,
            WatchRole::Waiting => place.in_second_half(),
        }
    }

    /// Pauses after a watch returned changes, with which this daemon's own calls are complete up to
    /// a revision.
    pub(crate) async fn pause_after_changes(&self, prefix: usize, complete_revision: u64) {
        self.update_watch_role();
        // Created before the role is read, so that a promotion in between is not missed.
        let promoted = self.promotion_wake.notified();
        let now = self.clock.now();
        let pause = self
            .watch_relay()
            .on_changes(now, prefix, complete_revision, &mut rand::rng());
        sleep_unless_promoted(pause, promoted).await;
    }

    /// Waits until the watcher of a prefix may call the store again after a failed call.
    pub(crate) async fn wait_for_retry(&self, prefix: usize) {
        loop {
            let promoted = self.promotion_wake.notified();
            let now = self.clock.now();
            let action = self.watch_relay().next_retry(now, prefix);
            let RetryAction::WaitUntil(at) = action else {
                return;
            };
            sleep_unless_promoted(at.saturating_sub(now), promoted).await;
        }
    }

    /// Records a failed call of the watcher of a prefix.
    pub(crate) fn on_watcher_call_failed(
        &self,
        prefix: usize,
        failed_calls: u32,
        complete_revision: Option<u64>,
    ) {
        self.update_watch_role();
        let now = self.clock.now();
        self.watch_relay().on_call_failed(
            now,
            prefix,
            failed_calls,
            complete_revision,
            &mut rand::rng(),
        );
    }

    /// The revisions held under the prefixes whose watches are closed, and the highest possible one
    /// for the others; `None` if no watch is closed.
    fn closed_revisions(&self) -> Option<PrefixRevisions> {
        let closed: Vec<bool> = {
            let relay = self.watch_relay();
            relay.closed_since().map(|since| since.is_some()).collect()
        };
        if !closed.contains(&true) {
            return None;
        }
        let view = self.fleet_view();
        let held = view.revisions().0.iter().zip(closed);
        let held = held.map(|(held, is_closed)| if is_closed { *held } else { EXCLUDED });
        Some(PrefixRevisions(held.collect()))
    }
}

/// Sleeps, but not beyond the time at which this daemon becomes a relay.
async fn sleep_unless_promoted(time: Duration, promoted: Notified<'_>) {
    tokio::select! {
        () = tokio::time::sleep(time) => {}
        () = promoted => {}
    }
}

/// The revisions held, and the highest possible one for prefixes whose watches are closed: their
/// changes are pulled by [`pull_closed`], from random peers.
pub(super) fn open_revisions(gateway: &Gateway) -> PrefixRevisions {
    let mut revisions = gateway.fleet_view().revisions().clone();
    let relay = gateway.watch_relay();
    for (revision, since) in revisions.0.iter_mut().zip(relay.closed_since()) {
        if since.is_some() {
            *revision = EXCLUDED;
        }
    }
    revisions
}

/// Uses what a peer's heartbeat says about closed watches and suspended retries.
pub(super) fn on_heartbeat(gateway: &Gateway, heartbeat: &Heartbeat) {
    let from = heartbeat.from.as_ref();
    if from.is_some_and(|from| from.domain == gateway.cfg.domain && from.name != gateway.cfg.name) {
        let now = gateway.clock.now();
        for (prefix, record) in heartbeat.confirmations.iter().enumerate() {
            let age = record.age_ms.map(|ms| Duration::from_millis(ms.into()));
            if let Some(as_of) = age.and_then(|age| now.checked_sub(age)) {
                gateway.watch_relay().on_peer_confirmation(prefix, as_of);
            }
        }
    }
    let is_ahead = gateway.closed_revisions().is_some_and(|own| {
        let mut theirs = heartbeat.view_revisions.iter().zip(&own.0);
        theirs.any(|(theirs, own)| theirs > own)
    });
    if is_ahead {
        gateway.pull_wake.notify_one();
    }
}

/// Peer address of a daemon to pull the changes of closed watches from, and the revisions after
/// which they are requested.
///
/// The request covers everything after the daemon's own complete revision, also what peers sent
/// before. An item that is missing in the view of one peer thus arrives from the next.
pub fn closed_pull(gateway: &Gateway) -> Option<(SocketAddr, PrefixRevisions)> {
    let own = gateway.closed_revisions()?;
    let now = gateway.clock.now();
    let peer = {
        let members = gateway.members();
        let domain = &gateway.cfg.domain;
        let member =
            members.random_member_ahead(now, CLOSED_PULL_DELAY, &own, domain, &mut rand::rng())?;
        member.peer_address
    };
    let relay = gateway.watch_relay();
    let since = relay.closed_since().map(|since| since.unwrap_or(EXCLUDED));
    Some((peer, PrefixRevisions(since.collect())))
}

/// Pulls the changes of closed watches from peers that are ahead, until `stop` is cancelled.
pub(super) async fn pull_closed(gateway: Arc<Gateway>, stop: CancellationToken) {
    let run = async {
        loop {
            gateway.pull_wake.notified().await;
            tokio::time::sleep(CLOSED_PULL_DELAY).await;
            if let Some((peer, since)) = closed_pull(&gateway) {
                let sent_at = gateway.clock.now();
                let confirmations = pull::pull_since(&gateway, peer, since).await;
                // On a prefix that changes continuously, the own view seldom equals that of a
                // heartbeat's sender. After a pull it usually does.
                // The reply may have been on its way for the whole exchange.
                let confirmations = confirmations.unwrap_or_default();
                take_over_confirmations(&gateway, &confirmations, sent_at);
                // A peer's view changes at most once per heartbeat as far as this daemon knows.
                tokio::time::sleep(HEARTBEAT_INTERVAL - CLOSED_PULL_DELAY).await;
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = run => {}
    }
}
