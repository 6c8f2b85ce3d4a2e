//! What runs at the upstream: this agent's work, and what an earlier run of the agent left there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_types::digest::Digest;

use super::types::{Offer, WorkId};
use crate::warmth::Sample;

/// How inexactly a report's age tells when it was made.
const AGE_TOLERANCE: Duration = Duration::from_millis(5);
/// Changes kept of the number of requests in flight, to compare with lagging reports.
const MAX_HISTORY: usize = 512;

/// Outputs in a row that make one piece of evidence.
const PACED_OUTPUTS: usize = 3;
/// Requests that must agree on evidence newer than a single one can give.
const AGREEING_REQUESTS: usize = 3;
/// Tokens of a stretch from which the warm pace is learned.
const STRETCH_TOKENS: u32 = 16;
/// Least tokens of the last, shorter stretch of a request.
const MIN_STRETCH_TOKENS: u32 = 4;

/// One piece of work at the upstream.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) content: Digest,
    pub(super) started: Duration,
    pub(super) first_output: Option<Duration>,
    pub(super) last_output: Option<Duration>,
    /// Tokens after the first output.
    pub(super) tokens: u32,
    /// The last outputs that followed each other at the warm pace, oldest first.
    paced: VecDeque<Duration>,
    /// The newest output between two others at the warm pace.
    between: Option<Duration>,
    /// The output at which the current stretch began, and the tokens since.
    stretch: Option<(Duration, u32)>,
}

impl Work {
    /// The last output heard, if it was heard in time.
    pub(super) fn reference(&self) -> Option<Duration> {
        self.paced.back().copied()
    }

    /// Notes an output that was heard in time, and whether it came at the warm pace. Gives the
    /// output that began a run of three, which was made on a warm upstream even if heard late.
    pub(super) fn heard_in_time(&mut self, now: Duration, warm: bool) -> Option<Duration> {
        if !warm {
            self.distrust();
        }
        self.paced.push_back(now);
        if self.paced.len() < PACED_OUTPUTS {
            return None;
        }
        self.between = self.paced.get(PACED_OUTPUTS - 2).copied();
        self.paced.pop_front()
    }

    /// Forgets the outputs heard, since they may have been heard late.
    pub(super) fn distrust(&mut self) {
        self.paced.clear();
        self.between = None;
    }

    /// Notes any output after the first; gives a stretch once it is long enough.
    pub(super) fn lengthen(&mut self, now: Duration, tokens: u32) -> Option<Sample> {
        let (from, before) = self.stretch.unwrap_or((now, 0));
        let tokens = before + tokens;
        self.stretch = Some((from, tokens));
        if tokens < STRETCH_TOKENS {
            return None;
        }
        self.stretch = Some((now, 0));
        let to = now;
        Some(Sample { from, to, tokens })
    }

    /// What is left of the current stretch when the work ends.
    pub(super) fn last_stretch(&self) -> Option<Sample> {
        let (from, tokens) = self.stretch?;
        let to = self.last_output?;
        (tokens >= MIN_STRETCH_TOKENS).then_some(Sample { from, to, tokens })
    }

    /// All outputs after the first as one sample.
    pub(super) fn whole(&self) -> Option<Sample> {
        let (from, to) = (self.first_output?, self.last_output?);
        let tokens = self.tokens;
        (tokens >= MIN_STRETCH_TOKENS).then_some(Sample { from, to, tokens })
    }
}

/// Work at the upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Running {
    work: BTreeMap<WorkId, Work>,
    left_behind: u32,
    left_behind_since: Duration,
    history: VecDeque<(Duration, u32)>,
}

impl Running {
    /// Requests in flight at the upstream, as far as they can be known from here: never fewer than
    /// there are.
    pub(super) fn in_flight(&self) -> u32 {
        self.work.len() as u32 + self.left_behind
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_flight() == 0
    }

    /// Requests in flight that started at some time or later. What started at that very time counts,
    /// since the upstream may have turned cold between the two.
    pub(super) fn started_since(&self, at: Option<Duration>) -> u32 {
        let after = |started: Duration| at.is_none_or(|at| started >= at);
        let own = self.work.values().filter(|w| after(w.started)).count() as u32;
        let left = if after(self.left_behind_since) {
            self.left_behind
        } else {
            0
        };
        own + left
    }

    pub(super) fn start(&mut self, now: Duration, offer: &Offer) {
        let work = Work {
            content: offer.content,
            started: now,
            first_output: None,
            last_output: None,
            tokens: 0,
            paced: VecDeque::new(),
            between: None,
            stretch: None,
        };
        self.work.insert(offer.id, work);
        self.note(now);
    }

    pub(super) fn get_mut(&mut self, id: WorkId) -> Option<&mut Work> {
        self.work.get_mut(&id)
    }

    /// Newest time at which several requests agree that the upstream was warm.
    pub(super) fn agreed(&self) -> Option<Duration> {
        let mut between: Vec<_> = self.work.values().filter_map(|w| w.between).collect();
        between.sort_unstable();
        let nth = between.len().checked_sub(AGREEING_REQUESTS)?;
        between.get(nth).copied()
    }

    /// Forgets when the last outputs were heard, since they may have been heard late.
    pub(super) fn distrust_outputs(&mut self) {
        for work in self.work.values_mut() {
            work.distrust();
        }
    }

    pub(super) fn finish(&mut self, now: Duration, id: WorkId) -> Option<Work> {
        let work = self.work.remove(&id)?;
        self.note(now);
        Some(work)
    }

    /// Forgets everything and tells what it was.
    pub(super) fn lose(&mut self, now: Duration) -> (Vec<WorkId>, BTreeSet<Digest>) {
        let work = std::mem::take(&mut self.work);
        self.left_behind = 0;
        self.note(now);
        let contents = work.values().map(|w| w.content).collect();
        (work.into_keys().collect(), contents)
    }

    /// Sets what was found at the upstream that this agent did not start.
    pub(super) fn found(&mut self, now: Duration, in_flight: u32) {
        self.left_behind = in_flight.saturating_sub(self.work.len() as u32);
        self.left_behind_since = now;
        self.note(now);
    }

    /// Lowers what was left behind by a report made after it was found.
    pub(super) fn report(&mut self, made_at: Duration, in_flight: u32) {
        if made_at <= self.left_behind_since {
            return;
        }
        let own = self.least_own_around(made_at);
        self.left_behind = self.left_behind.min(in_flight.saturating_sub(own));
    }

    /// Time of the newest output of any running work; a cold upstream slows all of it, a reader
    /// that does not read only its own.
    pub(super) fn newest_output(&self) -> Option<Duration> {
        self.work.values().filter_map(|w| w.last_output).max()
    }

    fn note(&mut self, now: Duration) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.work.len() as u32));
    }

    fn least_own_around(&self, at: Duration) -> u32 {
        let from = at.saturating_sub(AGE_TOLERANCE);
        let to = at + AGE_TOLERANCE;
        let before = self.history.iter().rev().find(|(t, _)| *t < from);
        let within = self.history.iter().filter(|(t, _)| (from..=to).contains(t));
        within.chain(before).map(|(_, own)| *own).min().unwrap_or(0)
    }
}
