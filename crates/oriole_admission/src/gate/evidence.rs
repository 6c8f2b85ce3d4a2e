//! Evidence of the upstream's warmth from its outputs and answers.

use std::time::Duration;

use oriole_types::catalog::PoolKind;

use super::running::Work;
use super::{Action, Gate, WorkId};
use crate::warmth::{PaceClass, Sample};

/// Gap between two calls of the gate, as a multiple of the warm output time, after which received
/// outputs may have been waiting.
const LATE_GAP_FACTOR: f64 = 1.5;
/// Gap between two calls of the gate, several ticks long, that counts as a pause of this process:
/// the upstream's silence during it means nothing.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(20);
/// Weight of the newest service time in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

impl Gate {
    /// Records an output of running work and the tokens it held. The tokens of the first output are
    /// not counted.
    pub fn output(&mut self, now: Duration, id: WorkId, tokens: u32) -> Vec<Action> {
        let timely = self.check_timeliness(now);
        let Some(work) = self.running.get_mut(id) else {
            return Vec::new();
        };
        let first = work.first_output.is_none();
        work.first_output = work.first_output.or(Some(now));
        work.last_output = Some(now);
        let tokens_after_first = if first { 0 } else { tokens };
        work.tokens += tokens_after_first;
        if !first {
            self.warmth.record_output_size(tokens);
        }
        let segment = work.extend_segment(now, tokens_after_first);
        let gap = work.last_timely_output().map(|from| Sample {
            from,
            to: now,
            tokens,
        });
        let pace = gap.map(|s| self.warmth.classify(&s));
        let evidence = if timely && pace != Some(PaceClass::Burst) {
            work.record_timely_output(now, pace == Some(PaceClass::Warm))
        } else {
            work.discard_outputs();
            None
        };
        if let Some(slow) = gap.filter(|_| timely && pace == Some(PaceClass::Slow)) {
            self.warmth.record_slow_output(slow);
        }
        segment
            .into_iter()
            .for_each(|s| self.warmth.record_segment(s));
        if evidence.is_some() {
            self.warmth
                .record_evidence(evidence.max(self.running.agreed_warm_at()));
        }
        self.start_waiting(now)
    }

    /// Whether an output received now was produced just now. After a gap between calls it may have
    /// been waiting, and the last outputs before the gap may have been received late as well.
    pub(super) fn check_timeliness(&mut self, now: Duration) -> bool {
        let previous = std::mem::replace(&mut self.last_call_at, now);
        let gap = now.saturating_sub(previous);
        if gap > PAUSE_THRESHOLD {
            self.pause_ended_at = now;
        }
        let Some(output_time) = self.warmth.output_time() else {
            return true;
        };
        if gap > output_time.mul_f64(LATE_GAP_FACTOR) {
            self.late_gap_ended_at = now;
            self.running.discard_outputs();
        }
        now > self.late_gap_ended_at + output_time
    }

    /// Updates the service time and the evidence from work that completed.
    pub(super) fn record_completion(&mut self, now: Duration, work: &Work) {
        let service_time_s = now.saturating_sub(work.started).as_secs_f64();
        let smoothed = self.service_time_s.unwrap_or(service_time_s);
        self.service_time_s = Some(smoothed + (service_time_s - smoothed) * SERVICE_TIME_WEIGHT);
        if self.cfg.kind == PoolKind::Service {
            return self.record_answer(now, work);
        }
        work.final_segment()
            .into_iter()
            .for_each(|s| self.warmth.record_segment(s));
        work.overall_sample()
            .into_iter()
            .for_each(|s| self.warmth.record_completion(s));
    }

    /// Uses the whole answer of a service as one sample.
    pub(super) fn record_answer(&mut self, now: Duration, work: &Work) {
        let sample = Sample {
            from: work.started,
            to: now,
            tokens: 1,
        };
        self.warmth.record_segment(sample);
        match self.warmth.classify(&sample) {
            PaceClass::Warm => self.warmth.record_evidence(Some(sample.from)),
            PaceClass::Slow => self.warmth.record_slow_output(sample),
            PaceClass::Burst | PaceClass::Unclear => {}
        }
        self.warmth.record_completion(sample);
    }
}
