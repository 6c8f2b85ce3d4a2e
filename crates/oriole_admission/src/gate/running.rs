//! Requests in flight at the upstream: this agent's own work, and unknown requests that were found
//! there, for example of an earlier run of the agent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_types::digest::Digest;

use super::types::{Offer, WorkId};
use crate::warmth::Sample;

/// Uncertainty of a report's age.
const AGE_TOLERANCE: Duration = Duration::from_millis(5);
/// Number of kept changes of this agent's requests in flight, to compare with lagging reports.
const MAX_HISTORY: usize = 512;

/// Consecutive outputs at the warm pace that make one piece of evidence.
const OUTPUTS_PER_EVIDENCE: usize = 3;
/// Requests that must agree for evidence newer than the run of a single request can give.
const AGREEING_REQUESTS: usize = 3;
/// Tokens of a segment from which the warm pace is learned.
const SEGMENT_TOKENS: u32 = 16;
/// Minimum tokens of the last, shorter segment of a request.
const MIN_SEGMENT_TOKENS: u32 = 4;

/// One request that this agent runs at the upstream.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) content: Digest,
    pub(super) started: Duration,
    pub(super) first_output: Option<Duration>,
    pub(super) last_output: Option<Duration>,
    /// Tokens after the first output.
    pub(super) tokens: u32,
    /// Times of the last timely outputs that followed each other at the warm pace, oldest first.
    warm_outputs: VecDeque<Duration>,
    /// Time of the middle output of the newest run at the warm pace.
    middle_output: Option<Duration>,
    /// Start of the current segment, and the tokens since then.
    segment: Option<(Duration, u32)>,
}

impl Work {
    /// Time of the last output, if it was received in time.
    pub(super) fn last_timely_output(&self) -> Option<Duration> {
        self.warm_outputs.back().copied()
    }

    /// Records an output that was received in time, and whether it came at the warm pace. Returns the
    /// time of the first output of a run of three, at which the upstream was warm even if that
    /// output was received late.
    pub(super) fn record_timely_output(&mut self, now: Duration, warm: bool) -> Option<Duration> {
        if !warm {
            self.discard_outputs();
        }
        self.warm_outputs.push_back(now);
        if self.warm_outputs.len() < OUTPUTS_PER_EVIDENCE {
            return None;
        }
        self.middle_output = self.warm_outputs.get(OUTPUTS_PER_EVIDENCE - 2).copied();
        self.warm_outputs.pop_front()
    }

    /// Discards the recorded outputs, since they may have been received late.
    pub(super) fn discard_outputs(&mut self) {
        self.warm_outputs.clear();
        self.middle_output = None;
    }

    /// Adds an output to the current segment. Returns the segment once it is long enough.
    pub(super) fn extend_segment(&mut self, now: Duration, tokens: u32) -> Option<Sample> {
        let (from, before) = self.segment.unwrap_or((now, 0));
        let tokens = before + tokens;
        self.segment = Some((from, tokens));
        if tokens < SEGMENT_TOKENS {
            return None;
        }
        self.segment = Some((now, 0));
        let to = now;
        Some(Sample { from, to, tokens })
    }

    /// The unfinished segment when the work ends; `None` if it is too short.
    pub(super) fn final_segment(&self) -> Option<Sample> {
        let (from, tokens) = self.segment?;
        let to = self.last_output?;
        (tokens >= MIN_SEGMENT_TOKENS).then_some(Sample { from, to, tokens })
    }

    /// All outputs after the first as one sample; `None` if they are too few.
    pub(super) fn overall_sample(&self) -> Option<Sample> {
        let (from, to) = (self.first_output?, self.last_output?);
        let tokens = self.tokens;
        (tokens >= MIN_SEGMENT_TOKENS).then_some(Sample { from, to, tokens })
    }
}

/// All requests in flight at the upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Running {
    work: BTreeMap<WorkId, Work>,
    /// Requests at the upstream that this agent does not know.
    unknown: u32,
    /// Time at which the unknown requests were counted.
    unknown_since: Duration,
    /// Number of this agent's requests after each change.
    history: VecDeque<(Duration, u32)>,
}

impl Running {
    /// Upper bound of the requests in flight at the upstream.
    pub(super) fn in_flight(&self) -> u32 {
        self.work.len() as u32 + self.unknown
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_flight() == 0
    }

    /// Requests in flight that started at `at` or later, or all of them without `at`. Work that
    /// started exactly then counts, since the upstream may have turned cold between the two events.
    pub(super) fn started_since(&self, at: Option<Duration>) -> u32 {
        let after = |started: Duration| at.is_none_or(|at| started >= at);
        let own = self.work.values().filter(|w| after(w.started)).count() as u32;
        let unknown = if after(self.unknown_since) {
            self.unknown
        } else {
            0
        };
        own + unknown
    }

    pub(super) fn start(&mut self, now: Duration, offer: &Offer) {
        let work = Work {
            content: offer.content,
            started: now,
            first_output: None,
            last_output: None,
            tokens: 0,
            warm_outputs: VecDeque::new(),
            middle_output: None,
            segment: None,
        };
        self.work.insert(offer.id, work);
        self.record_history(now);
    }

    pub(super) fn get_mut(&mut self, id: WorkId) -> Option<&mut Work> {
        self.work.get_mut(&id)
    }

    /// Newest time at which several requests agree that the upstream was warm.
    pub(super) fn agreed_warm_at(&self) -> Option<Duration> {
        let mut times: Vec<_> = self.work.values().filter_map(|w| w.middle_output).collect();
        times.sort_unstable();
        let nth = times.len().checked_sub(AGREEING_REQUESTS)?;
        times.get(nth).copied()
    }

    /// Discards the recorded outputs of all work, since they may have been received late.
    pub(super) fn discard_outputs(&mut self) {
        for work in self.work.values_mut() {
            work.discard_outputs();
        }
    }

    pub(super) fn finish(&mut self, now: Duration, id: WorkId) -> Option<Work> {
        let work = self.work.remove(&id)?;
        self.record_history(now);
        Some(work)
    }

    /// Removes all requests and returns this agent's ones with their contents.
    pub(super) fn take_all(&mut self, now: Duration) -> (Vec<WorkId>, BTreeSet<Digest>) {
        let work = std::mem::take(&mut self.work);
        self.unknown = 0;
        self.record_history(now);
        let contents = work.values().map(|w| w.content).collect();
        (work.into_keys().collect(), contents)
    }

    /// Sets the total number of requests at the upstream; those beyond this agent's ones are unknown.
    pub(super) fn set_total(&mut self, now: Duration, in_flight: u32) {
        self.unknown = in_flight.saturating_sub(self.work.len() as u32);
        self.unknown_since = now;
        self.record_history(now);
    }

    /// Lowers the number of unknown requests by a report made after they were counted.
    pub(super) fn record_report(&mut self, made_at: Duration, in_flight: u32) {
        if made_at <= self.unknown_since {
            return;
        }
        let own = self.min_own_around(made_at);
        self.unknown = self.unknown.min(in_flight.saturating_sub(own));
    }

    /// Time of the newest output of any running work. A cold upstream slows down all requests, a
    /// slow reader only its own.
    pub(super) fn newest_output(&self) -> Option<Duration> {
        self.work.values().filter_map(|w| w.last_output).max()
    }

    fn record_history(&mut self, now: Duration) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.work.len() as u32));
    }

    /// Minimum number of this agent's requests around a time, within the uncertainty of report ages.
    fn min_own_around(&self, at: Duration) -> u32 {
        let from = at.saturating_sub(AGE_TOLERANCE);
        let to = at + AGE_TOLERANCE;
        let before = self.history.iter().rev().find(|(t, _)| *t < from);
        let within = self.history.iter().filter(|(t, _)| (from..=to).contains(t));
        within.chain(before).map(|(_, own)| *own).min().unwrap_or(0)
    }
}
