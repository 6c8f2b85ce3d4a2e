//! Chooses when a rank sends its status to the leader, and how much of it.
//!
//! The leader's link is slow, and it hears all ranks of its group. So a status that says nothing new is
//! sent only as a heartbeat, and a rank's experts only if the leader asks for them: it knows the
//! experts of a map that it has planned.

use std::time::Duration;

use crate::message::Status;

/// Minimum time between two heartbeats of a rank.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two heartbeats of a rank for each rank of its group, so that the leader of a large group
/// hears no more of them than that of a smaller one.
const HEARTBEAT_INTERVAL_PER_RANK: Duration = Duration::from_millis(12);

/// Number of heartbeats after which a silent rank is not heard any more.
const MISSED_HEARTBEATS: u32 = 3;

/// Minimum time after which a status is repeated while the leader waits for it.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which a status is repeated, for each rank of its group.
const REPEAT_INTERVAL_PER_RANK: Duration = Duration::from_millis(1);

/// Change of a rank's slowdown that is sent at once.
const SLOWDOWN_STEP: f64 = 0.1;

/// Time between two heartbeats of a rank in a group of `ranks`.
#[must_use]
pub fn heartbeat_interval(ranks: usize) -> Duration {
    MIN_HEARTBEAT_INTERVAL.max(for_each(HEARTBEAT_INTERVAL_PER_RANK, ranks))
}

fn repeat_interval(ranks: usize) -> Duration {
    MIN_REPEAT_INTERVAL.max(for_each(REPEAT_INTERVAL_PER_RANK, ranks))
}

fn for_each(time: Duration, ranks: usize) -> Duration {
    time.saturating_mul(u32::try_from(ranks).unwrap_or(u32::MAX))
}

/// Age at which the last status of a rank that the leader does not wait for is too old to plan.
#[must_use]
pub fn status_timeout(ranks: usize) -> Duration {
    heartbeat_interval(ranks) * MISSED_HEARTBEATS
}

/// What a rank has told its leader, and when.
#[derive(Clone, Debug, Default)]
pub struct StatusPacer {
    /// Last status that was sent, without choices, experts and pass.
    last: Option<Status>,
    last_at: Duration,
    experts_requested: bool,
}

impl StatusPacer {
    /// Adds the rank's experts to its next status.
    pub fn request_experts(&mut self) {
        self.experts_requested = true;
    }

    /// The part of a complete status that is to be sent now, if any. `is_awaited` tells that the
    /// leader waits for this rank to carry out an intent.
    pub fn next(&mut self, now: Duration, mut status: Status, is_awaited: bool) -> Option<Status> {
        let key = Status {
            pass: 0,
            packed_choices: Vec::new(),
            choices_len: 0,
            choices_total: 0,
            choices_from_pass: 0,
            current_experts: Vec::new(),
            ..status.clone()
        };
        let is_changed = self.last.as_ref().is_none_or(|last| differs(last, &key));
        let ranks = status.ranks as usize;
        let interval = if is_awaited {
            repeat_interval(ranks)
        } else {
            heartbeat_interval(ranks)
        };
        let has_experts = self.experts_requested && !status.current_experts.is_empty();
        let has_content = is_changed || has_experts || !status.packed_choices.is_empty();
        if !has_content && now < self.last_at + interval {
            return None;
        }
        if !has_experts {
            status.current_experts.clear();
        }
        self.experts_requested &= !has_experts;
        self.last = Some(key);
        self.last_at = now;
        Some(status)
    }
}

/// Whether a status says something that the leader does not know from an earlier one.
fn differs(last: &Status, status: &Status) -> bool {
    let has_same_speed = (last.slowdown - status.slowdown).abs() < SLOWDOWN_STEP;
    let same_speed = Status {
        slowdown: last.slowdown,
        ..status.clone()
    };
    !has_same_speed || *last != same_speed
}
