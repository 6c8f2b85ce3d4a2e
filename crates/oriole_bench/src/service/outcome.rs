//! How the requests of a run ended.

use std::time::Duration;

use hdrhistogram::Histogram;
use oriole_types::prelude::*;

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Complete answer before the deadline.
    Completed,
    /// Complete answer after the deadline.
    Late,
    /// Refused without having run.
    Refused(RefusalReason),
    /// The last attempt failed.
    Failed,
}

/// One request that ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    /// Index of its account in the setup.
    pub account: usize,
    /// Priority class.
    pub priority: Priority,
    /// Time at which its caller sent it.
    pub sent: Duration,
    /// Time at which its caller received the answer or error.
    pub at: Duration,
    /// Attempts made.
    pub attempts: u32,
    /// Whether an entry made at least one attempt, so that it was not refused at once.
    pub accepted: bool,
    /// How it ended.
    pub end: End,
}

impl FinishedRequest {
    /// Returns the time from sending to the answer or error.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.at.saturating_sub(self.sent)
    }
}

/// The finished requests of a run and what was counted at the upstreams.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Finished requests that were sent in the measured part.
    pub finished: Vec<FinishedRequest>,
    /// Requests admitted above the limit of a cold upstream.
    pub cold_overload: u64,
    /// Start time of each attempt at an upstream, and the index of its failure domain.
    pub started: Vec<(Duration, usize)>,
    /// Attempts that ran in a failure domain when it was drained and failed.
    pub cut_attempts: u64,
}

impl Outcomes {
    /// Returns the share of the selected requests whose end matches.
    pub fn share(
        &self,
        select: impl Fn(&FinishedRequest) -> bool,
        matches_end: impl Fn(&FinishedRequest) -> bool,
    ) -> f64 {
        let (mut all, mut hits) = (0_u64, 0_u64);
        for e in self.finished.iter().filter(|e| select(e)) {
            all += 1;
            hits += u64::from(matches_end(e));
        }
        hits as f64 / all.max(1) as f64
    }

    /// Returns the number of requests whose end matches.
    pub fn count(&self, matches_end: impl Fn(&FinishedRequest) -> bool) -> usize {
        self.finished.iter().filter(|e| matches_end(e)).count()
    }

    /// Returns the attempts per request, without requests that were refused at once.
    #[must_use]
    pub fn attempts_ratio(&self) -> f64 {
        let sent = self.finished.iter().filter(|e| e.attempts > 0);
        let attempts: u64 = sent.clone().map(|e| u64::from(e.attempts)).sum();
        attempts as f64 / sent.count().max(1) as f64
    }

    /// Returns a quantile of the latency of the selected requests, in milliseconds.
    pub fn latency_ms(&self, quantile: f64, select: impl Fn(&FinishedRequest) -> bool) -> f64 {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3) else {
            return f64::NAN;
        };
        for e in self.finished.iter().filter(|e| select(e)) {
            histogram.saturating_record(e.latency().as_micros() as u64);
        }
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Returns whether a request got its complete answer in time.
#[must_use]
pub fn is_completed(e: &FinishedRequest) -> bool {
    e.end == End::Completed
}

/// Returns whether a request was refused.
#[must_use]
pub fn is_refused(e: &FinishedRequest) -> bool {
    matches!(e.end, End::Refused(_))
}
