//! Streams of events: forwarded as they come, resumed at another upstream if one breaks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use metrics::{counter, histogram};

use super::body::{AnswerBody, BrokenOff, full};
use super::events::EventSplitter;
use super::request::Asked;
use super::upstream_try::{self, Live, TryEnd};
use super::{MAX_OFFERS, Patience, Progress, account_name, head, pick, try_retry};
use crate::decision_log::Event;
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;

/// Silence of an upstream after which its stream goes on elsewhere. Callers leave after about two
/// seconds.
const SILENCE: Duration = Duration::from_millis(1300);

/// Time for which a broken stream waits for the head of another upstream's answer.
const RESUME_HEAD_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time that a broken stream may wait for a place: what the caller already has would be lost, and it
/// stays for about a second after the silence was noticed.
const RESUME_PATIENCE: Duration = Duration::from_millis(600);

/// The answer whose body relays a stream.
pub(super) fn answer(
    gateway: Arc<Gateway>,
    asked: Asked,
    progress: Progress,
    live: Live,
    guard: CountGuard,
) -> Response<AnswerBody> {
    let builder = head::answer_head(&live.answer);
    let relay = Relay {
        splitter: EventSplitter::after(asked.last_event),
        status: live.answer.status().as_u16(),
        live: Some(live),
        told_at: None,
        is_over: false,
        gateway,
        asked,
        progress,
        _guard: guard,
    };
    let frames = stream::unfold(relay, |mut relay| async {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    // The head came from an upstream's answer, so that it is well-formed.
    builder.body(body).unwrap_or_else(|_| {
        let mut answer = Response::new(full(Bytes::new()));
        *answer.status_mut() = Refusal::UpstreamFailed.status();
        answer
    })
}

/// What the upstream's next frame means.
enum Step {
    /// Whole events.
    Events(Bytes),
    /// The stream ended properly.
    End,
    /// The stream broke.
    Broken(&'static str),
    /// The time limit of the route or the caller passed.
    Expired,
}

/// How an attempt to go on elsewhere ended.
enum ResumeEnd {
    /// The stream goes on.
    Resumed,
    /// That upstream does not go on with it; another may.
    NextUpstream,
    /// None will be asked any more.
    GivenUp(&'static str),
}

struct Relay {
    gateway: Arc<Gateway>,
    asked: Asked,
    progress: Progress,
    splitter: EventSplitter,
    live: Option<Live>,
    status: u16,
    /// Time at which the caller last got events.
    told_at: Option<Duration>,
    is_over: bool,
    _guard: CountGuard,
}

impl Relay {
    /// The next whole events for the caller; none after the end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        while !self.is_over {
            match self.step().await {
                Step::Events(events) if events.is_empty() => {}
                Step::Events(events) => {
                    self.note_events();
                    return Some(Ok(events));
                }
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Some(Err(self.break_off(reason)));
                    }
                }
                Step::Expired => return Some(Err(self.break_off("time is up"))),
            }
        }
        None
    }

    async fn step(&mut self) -> Step {
        let left = self.left();
        if left.is_zero() {
            return Step::Expired;
        }
        let Some(live) = &mut self.live else {
            return Step::Broken("no upstream");
        };
        let frame = live.answer.body_mut().frame();
        match tokio::time::timeout(SILENCE.min(left), frame).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Step::Events(self.splitter.push(&data)),
                Err(_trailers) => Step::Events(Bytes::new()),
            },
            Ok(Some(Err(_))) => Step::Broken("connection broke"),
            Ok(None) if self.splitter.has_part() => Step::Broken("ended within an event"),
            Ok(None) => Step::End,
            Err(_) if left <= SILENCE => Step::Expired,
            Err(_) => Step::Broken("silence"),
        }
    }

    fn note_events(&mut self) {
        let now = self.gateway.clock.now();
        match self.told_at.replace(now) {
            None => {
                let took = now.saturating_sub(self.asked.came);
                histogram!("oriole_first_event_seconds").record(took.as_secs_f64());
            }
            Some(at) => {
                let pause = now.saturating_sub(at);
                histogram!("oriole_event_pause_seconds").record(pause.as_secs_f64());
            }
        }
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(live) = self.live.take() {
            let took = self.gateway.clock.now().saturating_sub(live.began);
            let mut traffic = self.gateway.traffic();
            traffic.load_mut(&live.instance).succeeded(took);
            drop(traffic);
            live.finish(&self.gateway);
        }
        counter!("oriole_answered_total").increment(1);
        let took = self.gateway.clock.now().saturating_sub(self.asked.came);
        histogram!("oriole_stream_seconds").record(took.as_secs_f64());
        self.gateway.log.event(&Event::Answered {
            request: &self.asked.id,
            account: account_name(&self.asked),
            route: &self.asked.route.name,
            status: self.status,
            attempts: self.progress.offers,
            took,
        });
    }

    fn break_off(&mut self, reason: &'static str) -> BrokenOff {
        self.is_over = true;
        self.live = None;
        counter!("oriole_broken_streams_total", "reason" => reason).increment(1);
        self.gateway.log.event(&Event::Broken {
            request: &self.asked.id,
            reason,
            took: self.gateway.clock.now().saturating_sub(self.asked.came),
        });
        BrokenOff
    }

    /// Goes on at another upstream; whether it did.
    async fn resume(&mut self, reason: &'static str) -> bool {
        if let Some(live) = self.live.take() {
            let now = self.gateway.clock.now();
            let mut traffic = self.gateway.traffic();
            traffic.load_mut(&live.instance).unreachable(now);
            drop(traffic);
            self.progress.tried.push(live.instance.clone());
        }
        self.splitter.drop_part();
        let outcome = if self.asked.route.allows_reexecution() {
            loop {
                match self.attempt().await {
                    ResumeEnd::Resumed => break "resumed",
                    ResumeEnd::NextUpstream => {}
                    ResumeEnd::GivenUp(why) => break why,
                }
            }
        } else {
            "not resumable"
        };
        counter!("oriole_resumes_total", "outcome" => outcome, "reason" => reason).increment(1);
        self.gateway.log.event(&Event::Resume {
            request: &self.asked.id,
            after: self.splitter.last_id(),
            outcome,
            reason,
        });
        self.live.is_some()
    }

    /// One attempt to go on.
    async fn attempt(&mut self) -> ResumeEnd {
        let left = self.left();
        if left.is_zero() {
            return ResumeEnd::GivenUp("time is up");
        }
        let progress = &mut self.progress;
        if progress.runs >= self.asked.route.max_attempts || progress.offers >= MAX_OFFERS {
            return ResumeEnd::GivenUp("attempts spent");
        }
        if !try_retry(&self.gateway, &self.asked, "resume") {
            return ResumeEnd::GivenUp("budget spent");
        }
        let patience = Patience::Queue(RESUME_PATIENCE);
        let Ok(pick) = pick(&self.gateway, &self.asked, progress, patience) else {
            return ResumeEnd::GivenUp("no upstream");
        };
        progress.offers += 1;
        let end = upstream_try::run(
            &self.gateway,
            &self.asked,
            &pick,
            progress.offers,
            self.splitter.last_id(),
            RESUME_HEAD_TIMEOUT.min(left),
        )
        .await;
        match end {
            TryEnd::Success(live) => {
                progress.runs += 1;
                self.live = Some(*live);
                return ResumeEnd::Resumed;
            }
            TryEnd::NotRun { .. } => {}
            TryEnd::Failure(_) | TryEnd::Unknown { .. } => progress.runs += 1,
        }
        progress.tried.push(pick.instance);
        ResumeEnd::NextUpstream
    }

    /// Time until the caller must have its end.
    fn left(&self) -> Duration {
        self.asked.limit.saturating_sub(self.gateway.clock.now())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            counter!("oriole_broken_streams_total", "reason" => "caller left").increment(1);
            self.gateway.log.event(&Event::Broken {
                request: &self.asked.id,
                reason: "caller left",
                took: self.gateway.clock.now().saturating_sub(self.asked.came),
            });
        }
    }
}
