//! Services none of whose groups runs, as after a loss of power.
//!
//! A group that lost ranks is formed anew about a second after the last of them is back. Callers that
//! come meanwhile have mostly spent their retries on the loss itself: for that time their requests wait, and
//! one of them now and then shows whether a group runs again. An outage that lasts is another matter: then
//! requests are refused at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::refusal::GROUP_RECOVERY_TIME;

/// Time between two requests that are offered to groups believed down. All daemons of a fleet offer, and
/// each further offer of a request counts as a retry.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a group that answered counts as running, whatever the store tells of it: what its ranks
/// write there takes a heartbeat.
const ANSWER_PROOF_TTL: Duration = Duration::from_secs(2);

/// What a request for a service without a running group may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageAction {
    /// Be offered all the same, to see whether a group runs again.
    Probe,
    /// Wait, for this time at most.
    Wait(Duration),
    /// Be refused: the outage lasts.
    Refuse,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Duration,
    last_probe_at: Option<Duration>,
}

/// Outages by service, and groups that were seen to run.
#[derive(Debug, Default)]
pub struct OutageTracker {
    by_service: HashMap<String, Outage>,
    last_answer_at: HashMap<String, Duration>,
}

impl OutageTracker {
    /// Notes that an upstream of a group answered.
    pub fn record_answer(&mut self, now: Duration, group: &str) {
        match self.last_answer_at.get_mut(group) {
            Some(at) => *at = now,
            None => {
                self.last_answer_at.insert(group.to_owned(), now);
            }
        }
    }

    /// Whether a group has answered lately.
    #[must_use]
    pub fn answered_recently(&self, now: Duration, group: &str) -> bool {
        let at = self.last_answer_at.get(group);
        at.is_some_and(|at| now < *at + ANSWER_PROOF_TTL)
    }

    /// Notes that some group of a service runs.
    pub fn clear(&mut self, service: &str) {
        self.by_service.remove(service);
    }

    /// What a request may do while no group of its service runs. One that was offered before does not
    /// probe again.
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
