//! Request rates that upstreams announce, kept by a fleet of daemons without asking each other.
//!
//! An upstream's limit holds for all daemons together and may be far below one request per daemon in
//! any window. It is cut into slots of one request each, and the slots belong to the daemons in turn
//! by a time that the fleet shares. A daemon may use a slot for a short time after its begin, so at
//! most the limit times window plus [`SLOT_LIFETIME`] requests are sent in any window, however the
//! demand moves. No message is spent on a request: a daemon only needs the limit, the fleet's time,
//! and its own position among the daemons.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time after its begin for which a slot may be used. Longer lets more slots find a request, and
/// more of them be used at once.
pub const SLOT_LIFETIME: Duration = Duration::from_secs(2);

/// First part of a slot's lifetime, which is reserved for the most urgent requests.
const URGENT_TIME: Duration = Duration::from_secs(1);

/// One in this many slots is open to every request from its begin, so that less urgent ones are never
/// kept out for good.
const OPEN_SLOT_INTERVAL: i64 = 3;

/// Highest limit that is taken seriously, in requests per second.
const MAX_PER_S: f64 = 1e6;

/// Lowest limit that is taken seriously, in requests per second.
const MIN_PER_S: f64 = 1e-3;

/// Time between two doublings of a limit that has ended, so that the daemons do not return all at
/// once.
const RELEASE_STEP: Duration = Duration::from_secs(1);

/// Doublings of a limit that has ended before it no longer holds.
const RELEASE_STEPS: u32 = 3;

/// Time for which the end of a limit is remembered, so that a late message does not restore it.
const END_RETENTION: Duration = Duration::from_secs(20);

/// Most upstreams whose limits are kept.
const MAX_LIMITS: usize = 4096;

/// A daemon's place among all daemons that may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderPosition {
    /// Number of daemons.
    pub daemons: usize,
    /// Place of this one, from zero.
    pub ordinal: usize,
}

/// What an upstream said of its limit, as daemons tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Hash of the upstream and its run.
    pub upstream: u64,
    /// Requests per second from all daemons; `None` if it no longer names a limit.
    pub per_s: Option<f64>,
    /// Time of the fleet at which it said so. A daemon that was suspended cannot tell the age of what
    /// it knows, as its own clock stood still.
    pub at: Duration,
}

/// Change of what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It named a limit, or another one than before.
    Named(f64),
    /// It no longer names one.
    Ended,
}

/// Why a request may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReached {
    /// Time until this daemon's next slot.
    pub next_slot: Duration,
    /// The limit, in requests per second from all daemons.
    pub per_s: f64,
}

#[derive(Clone, Debug)]
struct Limit {
    per_s: f64,
    /// Time of the fleet of the newest notice.
    heard_at: Duration,
    /// Time at which it ended; `None` while it holds.
    ended_at: Option<Duration>,
    /// Time of the fleet since which slots are cut at the present rate.
    since: Duration,
    /// Doublings since the end.
    released: u32,
    /// Slots that this daemon has used and that are still alive, in order.
    used: VecDeque<i64>,
}

/// The limits of all upstreams and this daemon's use of them.
#[derive(Clone, Debug, Default)]
pub struct FleetLimits {
    limits: BTreeMap<u64, Limit>,
    /// Time of the fleet less this daemon's own.
    fleet_ahead: Duration,
}

impl FleetLimits {
    /// Whether a limit can be kept: finite, and neither zero nor absurd.
    #[must_use]
    pub fn is_valid(per_s: f64) -> bool {
        (MIN_PER_S..=MAX_PER_S).contains(&per_s)
    }

    /// The time that all daemons share: the most advanced of their own, since none runs faster.
    #[must_use]
    pub fn fleet_time(&self, now: Duration) -> Duration {
        now + self.fleet_ahead
    }

    /// Takes over the time of the fleet from a peer, if it is ahead.
    pub fn adopt_fleet_time(&mut self, now: Duration, peer_time: Duration) {
        let ahead = peer_time.saturating_sub(now);
        self.fleet_ahead = self.fleet_ahead.max(ahead);
    }

    /// Takes in a notice, from an upstream's answer or from a peer. Returns what changed.
    pub fn merge(&mut self, now: Duration, notice: LimitNotice) -> Option<LimitChange> {
        let fleet_time = self.fleet_time(now);
        let is_known = self.limits.contains_key(&notice.upstream);
        if !is_known && (notice.per_s.is_none() || self.limits.len() >= MAX_LIMITS) {
            return None;
        }
        let limit = self.limits.entry(notice.upstream).or_insert(Limit {
            per_s: 0.0,
            heard_at: Duration::ZERO,
            ended_at: None,
            since: fleet_time,
            released: 0,
            used: VecDeque::new(),
        });
        if is_known && notice.at <= limit.heard_at {
            return None;
        }
        limit.heard_at = notice.at;
        match notice.per_s {
            Some(per_s) if limit.ended_at.is_some() || limit.per_s != per_s => {
                limit.ended_at = None;
                limit.released = 0;
                limit.set_rate(per_s, fleet_time);
                Some(LimitChange::Named(per_s))
            }
            None if limit.ended_at.is_none() => {
                limit.ended_at = Some(now);
                Some(LimitChange::Ended)
            }
            _ => None,
        }
    }

    /// Checks whether this daemon may send a request to an upstream now. The most urgent requests of
    /// its service come first.
    ///
    /// # Errors
    ///
    /// Returns when it may, if the upstream's limit forbids it now.
    pub fn check(
        &mut self,
        now: Duration,
        upstream: u64,
        position: SenderPosition,
        is_urgent: bool,
    ) -> Result<(), LimitReached> {
        let fleet_time = self.fleet_time(now);
        let Some(limit) = self.limits.get_mut(&upstream) else {
            return Ok(());
        };
        limit.release(now, fleet_time);
        if limit.is_released() {
            return Ok(());
        }
        if limit
            .find_slot(fleet_time, upstream, position, is_urgent)
            .is_some()
        {
            return Ok(());
        }
        Err(LimitReached {
            next_slot: limit.next_slot(fleet_time, upstream, position),
            per_s: limit.per_s,
        })
    }

    /// Uses a slot for a request that [`Self::check`] allowed.
    pub fn record_sent(
        &mut self,
        now: Duration,
        upstream: u64,
        position: SenderPosition,
        is_urgent: bool,
    ) {
        let fleet_time = self.fleet_time(now);
        let Some(limit) = self.limits.get_mut(&upstream) else {
            return;
        };
        if let Some(slot) = limit.find_slot(fleet_time, upstream, position, is_urgent) {
            let place = limit.used.partition_point(|used| *used < slot);
            limit.used.insert(place, slot);
        }
    }

    /// Notices for the next message to peers, at most `max` of them: the newest half, and others in
    /// turn. `turn` counts messages.
    #[must_use]
    pub fn notices(&self, turn: u64, max: usize) -> Vec<LimitNotice> {
        let mut notices: Vec<LimitNotice> = self
            .limits
            .iter()
            .map(|(upstream, limit)| LimitNotice {
                upstream: *upstream,
                per_s: limit.ended_at.is_none().then_some(limit.per_s),
                at: limit.heard_at,
            })
            .collect();
        if notices.len() <= max {
            return notices;
        }
        notices.sort_by_key(|notice| std::cmp::Reverse(notice.at));
        let others = notices.split_off(max.div_ceil(2));
        let start = (turn as usize).wrapping_mul(max / 2) % others.len();
        notices.extend(others.iter().cycle().skip(start).take(max / 2));
        notices
    }

    /// Whether an upstream's limit holds or is being released.
    #[must_use]
    pub fn is_limited(&self, upstream: u64) -> bool {
        self.limits.get(&upstream).is_some_and(|l| !l.is_released())
    }

    /// Forgets limits that ended some time ago, and those of upstreams that `is_known` denies.
    pub fn tick(&mut self, now: Duration, is_known: impl Fn(u64) -> bool) {
        let fleet_time = self.fleet_time(now);
        self.limits.retain(|upstream, limit| {
            let is_recent = fleet_time < limit.heard_at + END_RETENTION;
            is_recent || (limit.ended_at.is_none() && is_known(*upstream))
        });
    }
}

impl Limit {
    /// Cuts slots at another rate from now on. Slots of the old rate are void, so that changes in
    /// quick succession allow no more than the rates themselves.
    fn set_rate(&mut self, per_s: f64, fleet_time: Duration) {
        self.per_s = per_s;
        self.since = fleet_time;
        self.used.clear();
    }

    /// Doubles the rate step by step after the end.
    fn release(&mut self, now: Duration, fleet_time: Duration) {
        let Some(ended_at) = self.ended_at else {
            return;
        };
        let steps = now.saturating_sub(ended_at).as_nanos() / RELEASE_STEP.as_nanos();
        let steps = u32::try_from(steps).unwrap_or(RELEASE_STEPS);
        if steps > self.released && steps < RELEASE_STEPS {
            let doublings = steps - self.released;
            self.set_rate(self.per_s * f64::from(1 << doublings), fleet_time);
        }
        self.released = steps.max(self.released);
    }

    fn is_released(&self) -> bool {
        self.ended_at.is_some() && self.released >= RELEASE_STEPS
    }

    /// First slot that begins at or after a time of the fleet.
    fn slot_from(&self, fleet_time: Duration) -> i64 {
        (fleet_time.as_secs_f64() * self.per_s).ceil() as i64
    }

    /// Newest slot that has begun.
    fn newest_slot(&self, fleet_time: Duration) -> i64 {
        (fleet_time.as_secs_f64() * self.per_s).floor() as i64
    }

    /// First slot from `slot` on that belongs to the daemon. Upstreams start at different daemons.
    fn own_from(slot: i64, upstream: u64, position: SenderPosition) -> i64 {
        let daemons = position.daemons.max(1) as i64;
        let offset = (upstream % daemons as u64) as i64;
        let owner = (slot + offset).rem_euclid(daemons);
        slot + (position.ordinal as i64 - owner).rem_euclid(daemons)
    }

    /// The oldest unused slot of the daemon that a request may use.
    fn find_slot(
        &mut self,
        fleet_time: Duration,
        upstream: u64,
        position: SenderPosition,
        is_urgent: bool,
    ) -> Option<i64> {
        let oldest = self.slot_from(fleet_time.saturating_sub(SLOT_LIFETIME).max(self.since));
        while self.used.front().is_some_and(|used| *used < oldest) {
            self.used.pop_front();
        }
        let newest = self.newest_slot(fleet_time);
        let aged = self.newest_slot(fleet_time.saturating_sub(URGENT_TIME));
        let step = position.daemons.max(1) as i64;
        let mut slot = Self::own_from(oldest, upstream, position);
        while slot <= newest {
            let is_open = is_urgent || slot <= aged || (slot / step) % OPEN_SLOT_INTERVAL == 0;
            if is_open && self.used.binary_search(&slot).is_err() {
                return Some(slot);
            }
            slot += step;
        }
        None
    }

    /// Time until the daemon's next slot begins.
    fn next_slot(&self, fleet_time: Duration, upstream: u64, position: SenderPosition) -> Duration {
        let slot = Self::own_from(self.newest_slot(fleet_time) + 1, upstream, position);
        let begins_at = slot as f64 / self.per_s;
        Duration::from_secs_f64((begins_at - fleet_time.as_secs_f64()).max(0.0))
    }
}
