//! What outputs and answers tell of the upstream's warmth.

use std::time::Duration;

use oriole_types::catalog::PoolKind;

use super::running::Work;
use super::{Action, Gate, WorkId};
use crate::warmth::{Pace, Sample};

/// Silence of the daemon itself, in warm times, after which what it hears may be old.
const PAUSE_FACTOR: f64 = 1.5;
/// Silence of the daemon itself after which the silence of others means nothing: several ticks.
const PAUSE: Duration = Duration::from_millis(20);
/// Weight of a new service time in the smoothed one.
const SERVICE_WEIGHT: f64 = 0.1;

impl Gate {
    /// Notes output of running work: the first, and each later one with the tokens it held.
    pub fn output(&mut self, now: Duration, id: WorkId, tokens: u32) -> Vec<Action> {
        let in_time = self.hears_in_time(now);
        let Some(work) = self.running.get_mut(id) else {
            return Vec::new();
        };
        let first = work.first_output.is_none();
        work.first_output = work.first_output.or(Some(now));
        work.last_output = Some(now);
        let tokens_after_first = if first { 0 } else { tokens };
        work.tokens += tokens_after_first;
        if !first {
            self.warmth.output_held(tokens);
        }
        let stretch = work.lengthen(now, tokens_after_first);
        let gap = work.reference().map(|from| Sample {
            from,
            to: now,
            tokens,
        });
        let pace = gap.map(|s| self.warmth.judge(&s));
        let evidence = if in_time && pace != Some(Pace::Burst) {
            work.heard_in_time(now, pace == Some(Pace::Warm))
        } else {
            work.distrust();
            None
        };
        if let Some(slow) = gap.filter(|_| in_time && pace == Some(Pace::Slow)) {
            self.warmth.slow(slow);
        }
        stretch.into_iter().for_each(|s| self.warmth.stretch(s));
        if evidence.is_some() {
            self.warmth.evidence(evidence.max(self.running.agreed()));
        }
        self.start_waiting(now)
    }

    /// Whether what is heard now was made just now. After a pause of this process it was not, and
    /// what was heard last before the pause may have been late as well.
    pub(super) fn hears_in_time(&mut self, now: Duration) -> bool {
        let before = std::mem::replace(&mut self.heard_at, now);
        let deaf = now.saturating_sub(before);
        if deaf > PAUSE {
            self.paused_until = now;
        }
        let Some(pace) = self.warmth.output_time() else {
            return true;
        };
        if deaf > pace.mul_f64(PAUSE_FACTOR) {
            self.awake_since = now;
            self.running.distrust_outputs();
        }
        now > self.awake_since + pace
    }

    pub(super) fn completed(&mut self, now: Duration, work: &Work) {
        let taken = now.saturating_sub(work.started).as_secs_f64();
        let smoothed = self.service_s.unwrap_or(taken);
        self.service_s = Some(smoothed + (taken - smoothed) * SERVICE_WEIGHT);
        if self.cfg.kind == PoolKind::Service {
            return self.whole_answer(now, work);
        }
        work.last_stretch()
            .into_iter()
            .for_each(|s| self.warmth.stretch(s));
        work.whole()
            .into_iter()
            .for_each(|s| self.warmth.completed(s));
    }

    pub(super) fn whole_answer(&mut self, now: Duration, work: &Work) {
        let sample = Sample {
            from: work.started,
            to: now,
            tokens: 1,
        };
        self.warmth.stretch(sample);
        match self.warmth.judge(&sample) {
            Pace::Warm => self.warmth.evidence(Some(sample.from)),
            Pace::Slow => self.warmth.slow(sample),
            Pace::Burst | Pace::Unclear => {}
        }
        self.warmth.completed(sample);
    }
}
