//! Tracks services of which no group runs, for example after a power loss.
//!
//! A group that lost ranks is formed anew about a second after the last of them is back. Callers
//! that arrive meanwhile have mostly spent their retries on the loss itself, so their requests wait
//! for that time, and an occasional probe request shows whether a group runs again. If the outage
//! lasts longer, requests are refused at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::refusal::GROUP_RECOVERY_TIME;

/// Time between two probe requests to groups that are assumed to be down. Every daemon of the fleet
/// probes, and each further attempt of a refused probe counts as a retry.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a group that answered counts as running, even if the store still reports
/// otherwise. The ranks' own records reach the store a heartbeat later.
const ANSWER_PROOF_TTL: Duration = Duration::from_secs(2);

/// Action for a request to a service without a running group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageAction {
    /// Send it anyway, to find out whether a group runs again.
    Probe,
    /// Wait for at most this time.
    Wait(Duration),
    /// Refuse it, because the outage has lasted too long.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Duration,
    last_probe_at: Option<Duration>,
}

/// Ongoing outages by service, and the last successful response of each group.
#[derive(Debug, Default)]
pub struct OutageTracker {
    by_service: HashMap<String, Outage>,
    last_answer_at: HashMap<String, Duration>,
}

impl OutageTracker {
    /// Records that an upstream of a group answered.
    pub fn record_answer(&mut self, now: Duration, group: &str) {
        match self.last_answer_at.get_mut(group) {
            Some(at) => *at = now,
            None => {
                self.last_answer_at.insert(group.to_owned(), now);
            }
        }
    }

    /// Whether a group has answered recently.
    #[must_use]
    pub fn answered_recently(&self, now: Duration, group: &str) -> bool {
        let at = self.last_answer_at.get(group);
        at.is_some_and(|at| now < *at + ANSWER_PROOF_TTL)
    }

    /// Ends the outage of a service, because one of its groups runs.
    pub fn clear(&mut self, service: &str) {
        self.by_service.remove(service);
    }

    /// Decides what to do with a request while no group of its service runs. A request that was
    /// sent to an upstream before does not probe again.
    pub fn next_action(&mut self, now: Duration, service: &str, may_probe: bool) -> OutageAction {
        let outage = self.by_service.entry(service.to_owned());
        let outage = outage.or_insert(Outage {
            since: now,
            last_probe_at: None,
        });
        let is_due = outage
            .last_probe_at
            .is_none_or(|at| now >= at + PROBE_INTERVAL);
        if may_probe && is_due {
            outage.last_probe_at = Some(now);
            return OutageAction::Probe;
        }
        let remaining = (outage.since + GROUP_RECOVERY_TIME).saturating_sub(now);
        if remaining.is_zero() {
            OutageAction::Refuse
        } else {
            OutageAction::Wait(remaining)
        }
    }
}
