//! How many requests an upstream is proven to bear.
//!
//! Two bounds hold at every moment. The *limit* on requests in flight starts at what a cold
//! upstream bears and grows by evidence of warm pace. The *exposure* bounds the requests that
//! started after the last moment at which the upstream is known to have been warm: whenever it
//! turns cold without a warning, all requests that it got since then are among those. So exposure
//! is what a cold upstream bears, and no interleaving gives it more.
//!
//! Evidence is a run of three outputs of one request at the warm pace, or one whole answer. A run
//! proves the upstream warm at its first output: were that one heard late, the next would look slow.
//! If several requests agree, it is proven at the output in the middle. The warm pace itself is learned from longer stretches while the
//! upstream's own reports say warm, and leans to the shorter times, since a busy machine only adds to
//! them. If the upstream reports nothing of the kind, it is the best pace that has stopped improving.

use std::collections::VecDeque;
use std::time::Duration;

use metrics::counter;
use oriole_types::value_type;

/// A pace up to this multiple of the warm pace is evidence of warmth.
const WARM_FACTOR: f64 = 1.6;
/// An output time below this multiple of the warm time is no time at all: the outputs had been made
/// earlier and waited.
const BURST_FACTOR: f64 = 0.4;
/// A pace, or a silence, beyond this multiple of the warm pace is a sign of cold.
const COLD_FACTOR: f64 = 3.0;
/// Silence that is never a sign of cold, however short the warm time: a scheduler's pause.
const SILENCE_FLOOR: Duration = Duration::from_millis(30);
/// Evidence in a row that raises the limit by one.
const EVIDENCE_PER_STEP: u32 = 4;
/// Slow outputs in a row, with no evidence of warmth between them, that are a sign of cold.
const SLOW_IN_A_ROW: u32 = 4;
/// Samples kept until a report tells whether they were warm.
const MAX_SAMPLES: usize = 256;
/// Completions without a better pace after which the best one counts as warm.
const PLATEAU_COMPLETIONS: u32 = 16;
/// A pace below this share of the best one is an improvement.
const IMPROVEMENT: f64 = 0.8;
/// Weight of the newest output in the smoothed number of tokens an output holds.
const OUTPUT_SIZE_WEIGHT: f64 = 0.05;
/// Weight of a shorter sample in the warm pace.
const SHORTER_WEIGHT: f64 = 0.3;
/// Weight of a longer one.
const LONGER_WEIGHT: f64 = 0.02;

value_type! {
    /// Why the limit fell back to what a cold upstream bears.
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
    /// What the pace of some outputs tells.
    pub enum Pace {
        /// So short that the outputs had waited to be heard.
        Burst,
        /// That of a warm upstream.
        Warm,
        /// Nothing: between warm and cold, or the warm pace is not known.
        Unclear,
        /// That of a cold upstream.
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

/// Time of some outputs of one request in a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time of the output before the first of them, or of the start.
    pub from: Duration,
    /// Time of the last.
    pub to: Duration,
    /// Tokens they held; 1 for a whole answer.
    pub tokens: u32,
}

impl Sample {
    fn seconds(&self) -> f64 {
        self.to.saturating_sub(self.from).as_secs_f64()
    }

    fn pace(&self) -> f64 {
        self.seconds() / f64::from(self.tokens.max(1))
    }
}

/// The proof of warmth of one upstream.
#[derive(Clone, Debug)]
pub struct Warmth {
    cold_concurrency: u32,
    warm_concurrency: u32,
    limit: u32,
    streak: u32,
    slow_streak: u32,
    warm_at: Option<Duration>,
    evidence_at: Option<Duration>,
    sign_at: Option<Duration>,
    /// Warm pace: time of one token or answer, in seconds.
    pace: Option<f64>,
    /// Tokens that one output holds, smoothed.
    tokens_per_output: f64,
    best: Option<f64>,
    completions_since_best: u32,
    report_at: Option<Duration>,
    /// Time of the first of the warm reports that followed no cold one.
    warm_reports_since: Option<Duration>,
    samples: VecDeque<Sample>,
}

impl Warmth {
    /// An upstream of which nothing is known.
    #[must_use]
    pub fn new(cold_concurrency: u32, warm_concurrency: u32) -> Self {
        Self {
            cold_concurrency,
            warm_concurrency,
            limit: cold_concurrency.min(warm_concurrency),
            streak: 0,
            slow_streak: 0,
            warm_at: None,
            evidence_at: None,
            sign_at: None,
            pace: None,
            tokens_per_output: 1.0,
            best: None,
            completions_since_best: 0,
            report_at: None,
            warm_reports_since: None,
            samples: VecDeque::new(),
        }
    }

    /// Takes over what the catalog says an upstream bears.
    pub fn configure(&mut self, cold_concurrency: u32, warm_concurrency: u32) {
        let was_cold = self.is_cold();
        self.cold_concurrency = cold_concurrency;
        self.warm_concurrency = warm_concurrency;
        self.limit = self.limit.min(warm_concurrency);
        if was_cold {
            self.limit = cold_concurrency.min(warm_concurrency);
        }
    }

    /// Most requests in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Most requests in flight of a warm upstream.
    #[must_use]
    pub fn warm_concurrency(&self) -> u32 {
        self.warm_concurrency
    }

    /// Most requests in flight that started at [`Warmth::warm_at`] or later.
    #[must_use]
    pub fn exposure(&self) -> u32 {
        self.cold_concurrency
    }

    /// Last moment at which the upstream is known to have been warm.
    #[must_use]
    pub fn warm_at(&self) -> Option<Duration> {
        self.warm_at
    }

    /// Time of one token or answer while warm, once it is known.
    #[must_use]
    pub fn pace(&self) -> Option<Duration> {
        self.pace.map(Duration::from_secs_f64)
    }

    /// Time between two outputs of one request while warm, once it is known. An engine that sends
    /// several tokens at once is silent for as many times the pace.
    #[must_use]
    pub fn output_time(&self) -> Option<Duration> {
        self.pace
            .map(|pace| Duration::from_secs_f64(pace * self.tokens_per_output))
    }

    /// Notes how many tokens an output held.
    pub fn output_held(&mut self, tokens: u32) {
        let tokens = f64::from(tokens.max(1));
        self.tokens_per_output += (tokens - self.tokens_per_output) * OUTPUT_SIZE_WEIGHT;
    }

    /// What the pace of some outputs tells.
    #[must_use]
    pub fn judge(&self, sample: &Sample) -> Pace {
        let Some(warm) = self.pace else {
            return Pace::Unclear;
        };
        match sample.pace() / warm {
            ratio if ratio < BURST_FACTOR => Pace::Burst,
            ratio if ratio <= WARM_FACTOR => Pace::Warm,
            ratio if ratio <= COLD_FACTOR => Pace::Unclear,
            _ => Pace::Slow,
        }
    }

    /// Whether nothing proves the upstream warm since the last sign of cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.warm_at.is_none()
    }

    /// Falls back to what a cold upstream bears.
    pub fn collapse(&mut self, now: Duration, sign: ColdSign) {
        if !self.is_cold() {
            counter!("oriole_admission_collapses_total", "sign" => sign.as_str()).increment(1);
        }
        self.limit = self.cold_concurrency.min(self.warm_concurrency);
        self.streak = 0;
        self.warm_at = None;
        self.sign_at = self.sign_at.max(Some(now));
    }

    /// Takes in evidence that the upstream was warm at some time; growth needs newer evidence than
    /// there was.
    pub fn evidence(&mut self, at: Option<Duration>) {
        let Some(at) = at.filter(|at| self.evidence_at < Some(*at)) else {
            return;
        };
        self.evidence_at = Some(at);
        if !self.prove(at) {
            return;
        }
        self.slow_streak = 0;
        self.streak += 1;
        if self.streak >= EVIDENCE_PER_STEP {
            self.streak = 0;
            self.limit = (self.limit + 1).min(self.warm_concurrency);
        }
    }

    /// Takes in a slow output. Another request's evidence within its time says that the upstream is
    /// not the cause.
    pub fn slow(&mut self, sample: Sample) {
        if self.warm_at.is_some_and(|at| at > sample.from) {
            return;
        }
        self.slow_streak += 1;
        let long = self.is_silence(sample.seconds(), self.pace.unwrap_or(f64::MAX));
        if long || self.slow_streak >= SLOW_IN_A_ROW {
            self.slow_streak = 0;
            self.collapse(sample.to, ColdSign::Pace);
        }
    }

    /// Takes in a longer stretch of outputs, to learn the warm pace from if it was warm.
    pub fn stretch(&mut self, sample: Sample) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Takes in the upstream's own report, made at some time.
    pub fn report(&mut self, made_at: Duration, cold: bool) {
        if self.report_at.is_some_and(|at| made_at <= at) {
            return;
        }
        self.report_at = Some(made_at);
        if cold {
            self.warm_reports_since = None;
            let outdated = self.warm_at.is_some_and(|at| at > made_at);
            if !outdated {
                self.collapse(made_at, ColdSign::Report);
            }
            return;
        }
        let since = *self.warm_reports_since.get_or_insert(made_at);
        self.learn(since, made_at);
        self.prove(made_at);
    }

    /// Takes in a completed request as one sample over all its outputs; used where the upstream
    /// does not report whether it is cold.
    pub fn completed(&mut self, whole: Sample) {
        let pace = whole.pace();
        self.completions_since_best += 1;
        if self.best.is_none_or(|best| pace < best * IMPROVEMENT) {
            self.best = Some(pace);
            self.completions_since_best = 0;
        }
        let settled = self.completions_since_best >= PLATEAU_COMPLETIONS;
        if self.report_at.is_none() && self.pace.is_none() && settled {
            self.pace = self.best;
        }
    }

    /// Takes in that a request has given no output for some time.
    pub fn silence(&mut self, now: Duration, since: Duration) {
        let Some(pace) = self.pace else { return };
        let silent = now.saturating_sub(since).as_secs_f64();
        if !self.is_cold() && self.is_silence(silent, pace) {
            self.collapse(now, ColdSign::Pace);
        }
    }

    fn is_silence(&self, seconds: f64, pace: f64) -> bool {
        let output = pace * self.tokens_per_output;
        seconds > (output * COLD_FACTOR).max(SILENCE_FLOOR.as_secs_f64())
    }

    /// Notes that the upstream was warm at some time, unless a later sign says otherwise.
    fn prove(&mut self, at: Duration) -> bool {
        if self.sign_at.is_some_and(|sign| at <= sign) {
            return false;
        }
        self.warm_at = self.warm_at.max(Some(at));
        true
    }

    fn learn(&mut self, from: Duration, to: Duration) {
        let within = |s: &&Sample| s.from >= from && s.to <= to;
        for sample in self.samples.iter().filter(within) {
            let pace = self.pace.unwrap_or(sample.pace());
            let weight = if sample.pace() < pace {
                SHORTER_WEIGHT
            } else {
                LONGER_WEIGHT
            };
            self.pace = Some(pace + (sample.pace() - pace) * weight);
        }
        self.samples.retain(|s| s.to > to);
    }
}
