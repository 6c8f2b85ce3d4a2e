//! Concurrency limit of one upstream, from cold start until it is warm.
//!
//! Two bounds hold at all times. The *limit* caps the requests in flight. It starts at the cold
//! concurrency and grows with evidence that the upstream works at its warm pace. The *exposure
//! limit* caps the requests in flight that started after the upstream was last known to be warm.
//! If it turns cold without notice, every request that it received while cold is among those, so
//! with the cold concurrency as the exposure limit no order of events overloads a cold upstream.
//!
//! Evidence is a run of three outputs of one request at the warm pace, or one whole answer. A run
//! proves that the upstream was warm at the first output of the run: if that output was received
//! late and the upstream has turned cold since, a later output of the run would look slow. If
//! several requests agree, the upstream was warm at the middle output of their runs.
//!
//! The warm pace is learned from longer segments of output while the upstream reports that it is
//! warm. Shorter times weigh more, since a busy machine can only add to them. If the upstream does
//! not report whether it is warm, the warm pace is the best pace once that has stopped improving.

use std::collections::VecDeque;
use std::time::Duration;

use metrics::counter;
use oriole_types::value_type;

/// A pace up to this multiple of the warm pace is evidence that the upstream is warm.
const WARM_FACTOR: f64 = 1.6;
/// Outputs that follow each other in less than this multiple of the warm pace were produced earlier
/// and delivered in a burst, so their times say nothing.
const BURST_FACTOR: f64 = 0.4;
/// A pace or a silence beyond this multiple of the warm pace is a sign of a cold upstream.
const COLD_FACTOR: f64 = 3.0;
/// Silence up to this is never a sign of a cold upstream, however fast the warm pace: the scheduler
/// of the operating system can cause it.
const MIN_COLD_SILENCE: Duration = Duration::from_millis(30);
/// Pieces of evidence that raise the limit by one.
const EVIDENCE_PER_LIMIT_STEP: u32 = 4;
/// Slow outputs without evidence between them that count as a sign of a cold upstream.
const SLOW_OUTPUTS_TO_COLLAPSE: u32 = 4;
/// Samples kept until a report says whether the upstream was warm at their time.
const MAX_SAMPLES: usize = 256;
/// Completions without a better pace after which the best pace counts as the warm pace.
const PLATEAU_COMPLETIONS: u32 = 16;
/// A pace below this multiple of the best pace is an improvement.
const IMPROVEMENT_FACTOR: f64 = 0.8;
/// Weight of the newest output in the smoothed number of tokens per output.
const OUTPUT_SIZE_WEIGHT: f64 = 0.05;
/// Weight in the warm pace of a sample that is faster than it.
const FASTER_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight in the warm pace of a sample that is slower than it.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.02;

value_type! {
    /// Why the limit fell back to the cold concurrency.
    pub enum ColdSign {
        /// Outputs came too slowly, or not at all.
        Pace,
        /// The upstream reported that it is cold.
        Report,
        /// The upstream failed or was lost.
        Failure,
        /// The upstream was out of service and came back.
        Return,
    }
}

value_type! {
    /// The pace of some outputs compared with the warm pace.
    pub enum PaceClass {
        /// Faster than the upstream can work: the outputs were delivered late and together.
        Burst,
        /// The pace of a warm upstream.
        Warm,
        /// Between warm and cold, or the warm pace is not known.
        Unclear,
        /// The pace of a cold upstream.
        Slow,
    }
}

impl ColdSign {
    fn as_str(self) -> &'static str {
        match self {
            Self::Pace => "pace",
            Self::Report => "report",
            Self::Failure => "failure",
            Self::Return => "return",
        }
    }
}

/// Duration and size of consecutive outputs of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time of the output before the first of them, or of the request's start.
    pub from: Duration,
    /// Time of the last of them.
    pub to: Duration,
    /// Tokens in these outputs; 1 for a whole answer.
    pub tokens: u32,
}

impl Sample {
    fn duration_s(&self) -> f64 {
        self.to.saturating_sub(self.from).as_secs_f64()
    }

    /// Seconds per token.
    fn pace_s(&self) -> f64 {
        self.duration_s() / f64::from(self.tokens.max(1))
    }
}

/// Tracks whether one upstream is warm, and derives its limits from that.
#[derive(Clone, Debug)]
pub struct Warmth {
    cold_concurrency: u32,
    warm_concurrency: u32,
    limit: u32,
    /// Evidence since the limit last changed.
    evidence_count: u32,
    /// Slow outputs since the last evidence.
    slow_outputs: u32,
    warm_at: Option<Duration>,
    last_evidence_at: Option<Duration>,
    last_cold_sign_at: Option<Duration>,
    /// Warm pace: time of one token or answer, in seconds.
    warm_pace_s: Option<f64>,
    /// Smoothed number of tokens per output.
    tokens_per_output: f64,
    best_pace_s: Option<f64>,
    completions_since_best: u32,
    last_report_at: Option<Duration>,
    /// Time of the first warm report since the last cold one.
    warm_reports_since: Option<Duration>,
    samples: VecDeque<Sample>,
}

impl Warmth {
    /// Creates the state of an upstream that counts as cold and whose warm pace is not known.
    #[must_use]
    pub fn new(cold_concurrency: u32, warm_concurrency: u32) -> Self {
        Self {
            cold_concurrency,
            warm_concurrency,
            limit: cold_concurrency.min(warm_concurrency),
            evidence_count: 0,
            slow_outputs: 0,
            warm_at: None,
            last_evidence_at: None,
            last_cold_sign_at: None,
            warm_pace_s: None,
            tokens_per_output: 1.0,
            best_pace_s: None,
            completions_since_best: 0,
            last_report_at: None,
            warm_reports_since: None,
            samples: VecDeque::new(),
        }
    }

    /// Sets the concurrency limits from the catalog.
    pub fn configure(&mut self, cold_concurrency: u32, warm_concurrency: u32) {
        let was_cold = self.is_cold();
        self.cold_concurrency = cold_concurrency;
        self.warm_concurrency = warm_concurrency;
        self.limit = self.limit.min(warm_concurrency);
        if was_cold {
            self.limit = cold_concurrency.min(warm_concurrency);
        }
    }

    /// Current maximum number of requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Maximum number of requests in flight at a warm upstream.
    #[must_use]
    pub fn warm_concurrency(&self) -> u32 {
        self.warm_concurrency
    }

    /// Maximum number of requests in flight that started at [`Warmth::warm_at`] or later.
    #[must_use]
    pub fn exposure_limit(&self) -> u32 {
        self.cold_concurrency
    }

    /// Last time at which the upstream is known to have been warm; `None` if it counts as cold.
    #[must_use]
    pub fn warm_at(&self) -> Option<Duration> {
        self.warm_at
    }

    /// Time of one token or answer while warm; `None` until it is known.
    #[must_use]
    pub fn warm_pace(&self) -> Option<Duration> {
        self.warm_pace_s.map(Duration::from_secs_f64)
    }

    /// Time between two outputs of one request while warm; `None` until it is known. An engine that
    /// sends several tokens per output is silent for as many times the warm pace.
    #[must_use]
    pub fn output_time(&self) -> Option<Duration> {
        self.warm_pace_s
            .map(|pace| Duration::from_secs_f64(pace * self.tokens_per_output))
    }

    /// Records how many tokens an output held.
    pub fn record_output_size(&mut self, tokens: u32) {
        let tokens = f64::from(tokens.max(1));
        self.tokens_per_output += (tokens - self.tokens_per_output) * OUTPUT_SIZE_WEIGHT;
    }

    /// Compares the pace of some outputs with the warm pace.
    #[must_use]
    pub fn classify(&self, sample: &Sample) -> PaceClass {
        let Some(warm) = self.warm_pace_s else {
            return PaceClass::Unclear;
        };
        match sample.pace_s() / warm {
            ratio if ratio < BURST_FACTOR => PaceClass::Burst,
            ratio if ratio <= WARM_FACTOR => PaceClass::Warm,
            ratio if ratio <= COLD_FACTOR => PaceClass::Unclear,
            _ => PaceClass::Slow,
        }
    }

    /// Whether nothing has shown the upstream to be warm since the last sign that it is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.warm_at.is_none()
    }

    /// Falls back to the cold concurrency.
    pub fn collapse(&mut self, now: Duration, sign: ColdSign) {
        if !self.is_cold() {
            counter!("oriole_admission_collapses_total", "sign" => sign.as_str()).increment(1);
        }
        self.limit = self.cold_concurrency.min(self.warm_concurrency);
        self.evidence_count = 0;
        self.warm_at = None;
        self.last_cold_sign_at = self.last_cold_sign_at.max(Some(now));
    }

    /// Records evidence that the upstream was warm at some time. Evidence that is not newer than the
    /// last is ignored.
    pub fn record_evidence(&mut self, at: Option<Duration>) {
        let Some(at) = at.filter(|at| self.last_evidence_at < Some(*at)) else {
            return;
        };
        self.last_evidence_at = Some(at);
        if !self.mark_warm(at) {
            return;
        }
        self.slow_outputs = 0;
        self.evidence_count += 1;
        if self.evidence_count >= EVIDENCE_PER_LIMIT_STEP {
            self.evidence_count = 0;
            self.limit = (self.limit + 1).min(self.warm_concurrency);
        }
    }

    /// Records a slow output. It is ignored if another request showed the upstream to be warm while
    /// this output was awaited, because then the upstream is not the cause.
    pub fn record_slow_output(&mut self, sample: Sample) {
        if self.warm_at.is_some_and(|at| at > sample.from) {
            return;
        }
        self.slow_outputs += 1;
        let silent =
            self.is_cold_silence(sample.duration_s(), self.warm_pace_s.unwrap_or(f64::MAX));
        if silent || self.slow_outputs >= SLOW_OUTPUTS_TO_COLLAPSE {
            self.slow_outputs = 0;
            self.collapse(sample.to, ColdSign::Pace);
        }
    }

    /// Keeps a longer segment of outputs, from which the warm pace is learned if a report confirms
    /// that the upstream was warm then.
    pub fn record_segment(&mut self, sample: Sample) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Applies the upstream's own report. Reports older than the last one are ignored.
    pub fn record_report(&mut self, made_at: Duration, cold: bool) {
        if self.last_report_at.is_some_and(|at| made_at <= at) {
            return;
        }
        self.last_report_at = Some(made_at);
        if cold {
            self.warm_reports_since = None;
            let outdated = self.warm_at.is_some_and(|at| at > made_at);
            if !outdated {
                self.collapse(made_at, ColdSign::Report);
            }
            return;
        }
        let since = *self.warm_reports_since.get_or_insert(made_at);
        self.learn_pace(since, made_at);
        self.mark_warm(made_at);
    }

    /// Records a completed request as one sample over all its outputs, to learn the warm pace of an
    /// upstream that does not report whether it is cold.
    pub fn record_completion(&mut self, whole: Sample) {
        let pace = whole.pace_s();
        self.completions_since_best += 1;
        if self
            .best_pace_s
            .is_none_or(|best| pace < best * IMPROVEMENT_FACTOR)
        {
            self.best_pace_s = Some(pace);
            self.completions_since_best = 0;
        }
        let plateaued = self.completions_since_best >= PLATEAU_COMPLETIONS;
        if self.last_report_at.is_none() && self.warm_pace_s.is_none() && plateaued {
            self.warm_pace_s = self.best_pace_s;
        }
    }

    /// Falls back to the cold concurrency if no request has had any output for too long.
    pub fn check_silence(&mut self, now: Duration, since: Duration) {
        let Some(pace) = self.warm_pace_s else { return };
        let silent_s = now.saturating_sub(since).as_secs_f64();
        if !self.is_cold() && self.is_cold_silence(silent_s, pace) {
            self.collapse(now, ColdSign::Pace);
        }
    }

    /// Whether a silence is too long for a warm upstream.
    fn is_cold_silence(&self, silent_s: f64, warm_pace_s: f64) -> bool {
        let output_time_s = warm_pace_s * self.tokens_per_output;
        silent_s > (output_time_s * COLD_FACTOR).max(MIN_COLD_SILENCE.as_secs_f64())
    }

    /// Records that the upstream was warm at some time. Returns false, and changes nothing, if there
    /// was a sign of a cold upstream at that time or later.
    fn mark_warm(&mut self, at: Duration) -> bool {
        if self.last_cold_sign_at.is_some_and(|sign| at <= sign) {
            return false;
        }
        self.warm_at = self.warm_at.max(Some(at));
        true
    }

    /// Learns the warm pace from the samples between two warm reports.
    fn learn_pace(&mut self, from: Duration, to: Duration) {
        let within = |s: &&Sample| s.from >= from && s.to <= to;
        for sample in self.samples.iter().filter(within) {
            let pace = self.warm_pace_s.unwrap_or(sample.pace_s());
            let weight = if sample.pace_s() < pace {
                FASTER_SAMPLE_WEIGHT
            } else {
                SLOWER_SAMPLE_WEIGHT
            };
            self.warm_pace_s = Some(pace + (sample.pace_s() - pace) * weight);
        }
        self.samples.retain(|s| s.to > to);
    }
}
