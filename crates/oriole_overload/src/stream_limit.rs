//! Learns how many streams of a service may run, from the pause between their events.

use std::time::Duration;

use crate::group_progress::RECORD_TTL;

/// Time between two steps of the limit: about two passes of a loaded group.
const STEP: Duration = Duration::from_millis(200);

/// Share of the target gap that the pause should not exceed. The rest is for the spread of pauses.
const AIM: f64 = 0.95;

/// Share of the target gap below which the limit grows, if it is used.
const GROWTH_BELOW: f64 = 0.85;

/// Share of the limit that must be used for it to grow.
const GROWTH_USE: f64 = 0.9;

/// Growth of the limit in one step.
const GROWTH: f64 = 1.05;

/// Least part of the limit that is left after one step.
const MAX_FALL: f64 = 0.9;

/// Least limit, as a share of the slots. Fewer streams would not help a group that is slow for
/// another reason, such as a slow rank.
pub const FLOOR_SHARE: f64 = 0.5;

/// Weight of the newest change in the trend of the running streams: about the last half second.
const TREND_WEIGHT: f64 = 0.4;

/// Largest correction for streams that peers have not reported yet, as a share of the slots. The
/// streams grow by about that in a second when a class comes back after it was held.
const MAX_CORRECTION: f64 = 0.5;

/// What a step of the limit takes into account.
#[derive(Clone, Copy, Debug)]
pub struct LimitInput {
    /// Streams that run, as far as reported.
    pub running: u32,
    /// Mean pause between events; `None` if it is not known.
    pub pause: Option<Duration>,
    /// Longest pause for which a response is on time.
    pub target: Duration,
    /// Streams that the upstreams can run.
    pub slots: u32,
    /// Whether a group of the service stands still.
    pub stands_still: bool,
    /// Mean age of the peers' reports.
    pub view_age: Duration,
}

/// The limit on the running streams of one service.
#[derive(Debug, Default)]
pub struct StreamLimit {
    /// `None` before the first step.
    limit: Option<f64>,
    slots: f64,
    last_running: f64,
    /// Change of the running streams per second.
    trend: f64,
    view_age: Duration,
    stepped_at: Duration,
    /// Time until which pauses may still contain a standstill.
    distorted_until: Duration,
}

impl StreamLimit {
    /// The limit on running streams; `None` before the first step.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Streams that run now, given those that are reported: peers' reports are old, so the trend is
    /// continued by their age.
    #[must_use]
    pub fn expected(&self, running: u32) -> f64 {
        let most = self.slots * MAX_CORRECTION;
        let unreported = (self.trend * self.view_age.as_secs_f64()).clamp(-most, most);
        (f64::from(running) + unreported).max(0.0)
    }

    /// Adapts the limit if a step is due; returns whether it was.
    pub fn step(&mut self, now: Duration, input: &LimitInput) -> bool {
        if input.stands_still {
            self.distorted_until = now + RECORD_TTL;
        }
        let since = now.saturating_sub(self.stepped_at);
        if self.limit.is_some() && since < STEP {
            return false;
        }
        self.slots = f64::from(input.slots);
        let running = f64::from(input.running);
        if self.limit.is_some() {
            let change = (running - self.last_running) / since.as_secs_f64();
            self.trend += TREND_WEIGHT * (change - self.trend);
        }
        (self.last_running, self.stepped_at) = (running, now);
        self.view_age = input.view_age;
        let limit = self.limit.unwrap_or(self.slots);
        let limit = match input.pause {
            Some(pause) if now >= self.distorted_until => next_limit(limit, running, pause, input),
            _ => limit,
        };
        self.limit = Some(limit.clamp(self.slots * FLOOR_SHARE, self.slots));
        true
    }
}

fn next_limit(limit: f64, running: f64, pause: Duration, input: &LimitInput) -> f64 {
    let (pause, target) = (pause.as_secs_f64(), input.target.as_secs_f64());
    if pause > AIM * target {
        // Never above the present limit: the pause is too long.
        let fitting = running * AIM * target / pause;
        fitting.clamp(limit * MAX_FALL, limit)
    } else if pause < GROWTH_BELOW * target && running > GROWTH_USE * limit {
        limit * GROWTH
    } else {
        limit
    }
}
