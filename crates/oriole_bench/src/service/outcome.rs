//! What became of the requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use oriole_types::prelude::*;

/// Longest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer, in time.
    Completed,
    /// The whole answer after the deadline.
    Late,
    /// Refused without having run.
    Refused(RefusalReason),
    /// The last attempt failed.
    Failed,
}

/// One request that ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    /// Place of its account in the setup.
    pub account: usize,
    /// Urgency.
    pub priority: Priority,
    /// When its caller sent it.
    pub sent: Duration,
    /// When its caller had the end.
    pub at: Duration,
    /// Attempts made.
    pub attempts: u32,
    /// Whether an entry took it in, so that it was not refused at once.
    pub accepted: bool,
    /// How it ended.
    pub end: End,
}

impl FinishedRequest {
    /// Time from the caller's sending to the end.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.at.saturating_sub(self.sent)
    }
}

/// All requests of a run that ended, and what the upstreams saw.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Requests sent in the measured part.
    pub finished: Vec<FinishedRequest>,
    /// Requests admitted above what a cold upstream bears.
    pub cold_overload: u64,
    /// When an attempt started at an upstream, and the number of its failure domain.
    pub started: Vec<(Duration, usize)>,
    /// Attempts that ran in a failure domain when it was drained and did not end well.
    pub cut_attempts: u64,
}

impl Outcomes {
    /// Part of some requests that ended in a way.
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

    /// Number of requests that ended in a way.
    pub fn count(&self, matches_end: impl Fn(&FinishedRequest) -> bool) -> usize {
        self.finished.iter().filter(|e| matches_end(e)).count()
    }

    /// Attempts for each request.
    #[must_use]
    pub fn attempts_ratio(&self) -> f64 {
        let sent = self.finished.iter().filter(|e| e.attempts > 0);
        let attempts: u64 = sent.clone().map(|e| u64::from(e.attempts)).sum();
        attempts as f64 / sent.count().max(1) as f64
    }

    /// Latency in milliseconds that a part of some requests kept, say 0.99.
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

/// Whether a request got its whole answer in time.
#[must_use]
pub fn is_completed(e: &FinishedRequest) -> bool {
    e.end == End::Completed
}

/// Whether a request was refused.
#[must_use]
pub fn is_refused(e: &FinishedRequest) -> bool {
    matches!(e.end, End::Refused(_))
}
