//! Relays event streams, and resumes a broken stream at another upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use metrics::{counter, histogram};

use super::body::{ResponseBody, ResponseInterrupted, full};
use super::events::EventSplitter;
use super::request::CheckedRequest;
use super::upstream_attempt::{self, AttemptEnd, LiveResponse};
use super::{
    MAX_ATTEMPTS, Progress, WaitPolicy, account_name, headers, pick, suspects, try_spend_retry,
};
use crate::decision_log::LogEvent;
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;

/// Time without data after which a stream is resumed at another upstream. Callers leave after about
/// two seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Largest event that is buffered until its end arrives. An upstream that sends more without an end of
/// an event sends no events.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Time that a resume attempt waits for the head of a response.
const RESUME_HEAD_TIMEOUT: Duration = Duration::from_millis(1300);

/// Longest time that a resume attempt may wait for a slot. Giving up would lose the events that the
/// caller already has, and the caller stays for about a second after the silence was detected.
const RESUME_MAX_WAIT: Duration = Duration::from_millis(600);

/// Reason of a stream whose connection broke.
const CONNECTION_BROKE: &str = "connection broke";

/// Reason of a stream that ended properly, but within an event.
const ENDED_WITHIN_EVENT: &str = "ended within an event";

/// Reason of a stream whose upstream sends bytes that are no events.
const EVENT_TOO_LARGE: &str = "event too large";

/// Reason of a stream that ended with its connection before any event.
const ENDED_WITHOUT_EVENT: &str = "ended without an event";
const ENDED_BEFORE_EVENT: &str = "ended before an event that had begun";

/// Builds the response whose body relays the stream.
pub(super) fn respond(
    gateway: Arc<Gateway>,
    request: CheckedRequest,
    progress: Progress,
    live: LiveResponse,
    guard: CountGuard,
) -> Response<ResponseBody> {
    let builder = headers::response_head(&live.response);
    let relay = StreamRelay {
        splitter: EventSplitter::after(request.last_event_id),
        status: live.response.status().as_u16(),
        declares_events: live.declares_events(),
        lacks_event: false,
        live: Some(live),
        last_events_at: None,
        resumed_at: Duration::ZERO,
        began_at: None,
        has_passed: false,
        is_finished: false,
        gateway,
        request,
        progress,
        _guard: guard,
    };
    let frames = stream::unfold(relay, |mut relay| async {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    // The head was copied from a received response, so it is valid and this branch is not expected.
    builder.body(body).unwrap_or_else(|_| {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = Refusal::UpstreamFailed.status();
        response
    })
}

/// Result of reading the next frame from the upstream.
enum RelayStep {
    /// Whole events; empty if none was completed.
    Events(Bytes),
    /// The stream ended properly.
    End,
    /// The stream broke, for this reason.
    Broken(&'static str),
    /// The time limit of the route or the caller has passed.
    Expired,
}

/// Result of one attempt to resume a stream.
enum ResumeResult {
    /// The stream continues.
    Resumed,
    /// This upstream does not continue the stream; another may.
    NextUpstream,
    /// No further upstream is tried, for this reason.
    GivenUp(&'static str),
}

struct StreamRelay {
    gateway: Arc<Gateway>,
    request: CheckedRequest,
    progress: Progress,
    splitter: EventSplitter,
    live: Option<LiveResponse>,
    status: u16,
    /// Whether the head that the caller has says that the body is a stream of events.
    declares_events: bool,
    /// Whether an earlier upstream broke off within an event that the caller has not got since.
    lacks_event: bool,
    /// Time at which the caller last received events.
    last_events_at: Option<Duration>,
    /// Time at which the present upstream took over; zero for the first one.
    resumed_at: Duration,
    /// Time of the first events from the present upstream.
    began_at: Option<Duration>,
    /// Whether the present upstream is past the point at which a prompt part can crash it.
    has_passed: bool,
    is_finished: bool,
    _guard: CountGuard,
}

impl StreamRelay {
    /// Returns the next whole events for the caller; `None` after the end.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseInterrupted>> {
        let waiting_since = self.gateway.clock.now();
        while !self.is_finished {
            match self.next_step(waiting_since).await {
                RelayStep::Events(events) if events.is_empty() => {}
                RelayStep::Events(events) => {
                    self.lacks_event = false;
                    self.record_event_timing();
                    return Some(Ok(events));
                }
                RelayStep::End => {
                    self.finish();
                    return None;
                }
                RelayStep::Broken(reason) => {
                    self.record_disconnect(reason).await;
                    if !self.resume(reason).await {
                        return Some(Err(self.break_off(reason)));
                    }
                }
                RelayStep::Expired => return Some(Err(self.break_off("time is up"))),
            }
        }
        None
    }

    /// Reads from the upstream. Bytes without the end of an event do not extend the time since
    /// `waiting_since` that counts as silence.
    async fn next_step(&mut self, waiting_since: Duration) -> RelayStep {
        let remaining = self.remaining();
        if remaining.is_zero() {
            return RelayStep::Expired;
        }
        let Some(live) = &mut self.live else {
            return RelayStep::Broken("no upstream");
        };
        let waited_from = waiting_since.max(self.resumed_at);
        let silence_ends_at = waited_from + SILENCE_TIMEOUT;
        let silence = silence_ends_at.saturating_sub(self.gateway.clock.now());
        let has_length = live.has_length();
        let frame = live.response.body_mut().frame();
        match tokio::time::timeout(silence.min(remaining), frame).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => {
                    let events = self.splitter.push(&data);
                    if self.splitter.partial_len() > MAX_EVENT_BYTES {
                        return RelayStep::Broken(EVENT_TOO_LARGE);
                    }
                    RelayStep::Events(events)
                }
                Err(_trailers) => RelayStep::Events(Bytes::new()),
            },
            Ok(Some(Err(_))) => RelayStep::Broken(CONNECTION_BROKE),
            Ok(None) if self.splitter.has_partial() => RelayStep::Broken(ENDED_WITHIN_EVENT),
            Ok(None) if self.lacks_event => RelayStep::Broken(ENDED_BEFORE_EVENT),
            Ok(None) if !has_length && self.splitter.last_id().is_none() => {
                RelayStep::Broken(ENDED_WITHOUT_EVENT)
            }
            Ok(None) => RelayStep::End,
            Err(_) if remaining <= silence => RelayStep::Expired,
            Err(_) => RelayStep::Broken("silence"),
        }
    }

    /// Suspects the prompt parts if the upstream broke off before it was past the point at which
    /// they can crash it.
    async fn record_disconnect(&mut self, reason: &'static str) {
        let is_disconnect = matches!(
            reason,
            CONNECTION_BROKE | ENDED_WITHIN_EVENT | ENDED_WITHOUT_EVENT
        );
        if let Some(live) = &self.live
            && is_disconnect
            && !self.has_passed
        {
            suspects::on_disconnect(&self.gateway, &self.request, &live.instance).await;
        }
    }

    fn record_passed(&mut self, now: Duration) {
        let began_at = *self.began_at.get_or_insert(now);
        if !self.has_passed
            && let Some(live) = &self.live
        {
            self.has_passed = true;
            suspects::on_passed(&self.gateway, &self.request, &live.instance, began_at);
        }
    }

    fn record_event_timing(&mut self) {
        let now = self.gateway.clock.now();
        if now >= *self.began_at.get_or_insert(now) + suspects::PASSED_AFTER {
            self.record_passed(now);
        }
        match self.last_events_at.replace(now) {
            None => {
                let took = now.saturating_sub(self.request.received_at);
                histogram!("oriole_first_event_seconds").record(took.as_secs_f64());
            }
            Some(at) => {
                let pause = now.saturating_sub(at);
                histogram!("oriole_event_pause_seconds").record(pause.as_secs_f64());
            }
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if self.began_at.is_some() {
            self.record_passed(self.gateway.clock.now());
        }
        if let Some(live) = self.live.take() {
            let took = self.gateway.clock.now().saturating_sub(live.started_at);
            let mut traffic = self.gateway.traffic();
            traffic.load_mut(&live.instance).record_success(took);
            drop(traffic);
            live.finish(&self.gateway);
        }
        counter!("oriole_answered_total").increment(1);
        let took = self
            .gateway
            .clock
            .now()
            .saturating_sub(self.request.received_at);
        histogram!("oriole_stream_seconds").record(took.as_secs_f64());
        self.gateway.log.event(&LogEvent::Answered {
            request: &self.request.id,
            account: account_name(&self.request),
            route: &self.request.route.name,
            status: self.status,
            attempts: self.progress.attempts,
            took,
        });
    }

    fn break_off(&mut self, reason: &'static str) -> ResponseInterrupted {
        self.is_finished = true;
        self.live = None;
        counter!("oriole_broken_streams_total", "reason" => reason).increment(1);
        self.gateway.log.event(&LogEvent::Broken {
            request: &self.request.id,
            reason,
            took: self
                .gateway
                .clock
                .now()
                .saturating_sub(self.request.received_at),
        });
        ResponseInterrupted
    }

    /// Resumes the stream at another upstream; returns whether that worked.
    async fn resume(&mut self, reason: &'static str) -> bool {
        if let Some(live) = self.live.take() {
            let now = self.gateway.clock.now();
            let mut traffic = self.gateway.traffic();
            traffic.load_mut(&live.instance).record_unreachable(now);
            drop(traffic);
            self.progress.tried.push(live.instance.clone());
        }
        self.lacks_event |= self.splitter.has_partial();
        self.splitter.discard_partial();
        let outcome = if self.request.route.allows_reexecution() {
            loop {
                match self.try_resume().await {
                    ResumeResult::Resumed => break "resumed",
                    ResumeResult::NextUpstream => {}
                    ResumeResult::GivenUp(why) => break why,
                }
            }
        } else {
            "not resumable"
        };
        counter!("oriole_resumes_total", "outcome" => outcome, "reason" => reason).increment(1);
        self.gateway.log.event(&LogEvent::Resume {
            request: &self.request.id,
            after: self.splitter.last_id(),
            outcome,
            reason,
        });
        self.live.is_some()
    }

    /// Makes one attempt to resume the stream.
    async fn try_resume(&mut self) -> ResumeResult {
        let Ok(trial) = suspects::admit(&self.gateway, &self.request).await else {
            return ResumeResult::GivenUp("suspect part");
        };
        let remaining = self.remaining();
        if remaining.is_zero() {
            return ResumeResult::GivenUp("time is up");
        }
        let progress = &mut self.progress;
        if progress.possible_runs >= self.request.route.max_attempts
            || progress.attempts >= MAX_ATTEMPTS
        {
            return ResumeResult::GivenUp("attempts spent");
        }
        if !try_spend_retry(&self.gateway, &self.request, "resume") {
            return ResumeResult::GivenUp("budget spent");
        }
        let policy = WaitPolicy::Queue(RESUME_MAX_WAIT);
        let picked = pick(
            &self.gateway,
            &self.request,
            progress,
            policy,
            trial.as_ref(),
        );
        let Ok(pick) = picked else {
            return ResumeResult::GivenUp("no upstream");
        };
        progress.attempts += 1;
        let result = upstream_attempt::run(
            &self.gateway,
            &self.request,
            &pick,
            progress.attempts,
            self.splitter.last_id(),
            RESUME_HEAD_TIMEOUT.min(remaining),
        )
        .await;
        match result {
            // Its body is no part of the caller's stream, whatever its status says.
            AttemptEnd::Success(live) if self.declares_events && !live.declares_events() => {
                progress.possible_runs += 1;
            }
            AttemptEnd::Success(live) => {
                progress.possible_runs += 1;
                self.live = Some(*live);
                self.resumed_at = self.gateway.clock.now();
                (self.began_at, self.has_passed) = (None, false);
                return ResumeResult::Resumed;
            }
            AttemptEnd::NotRun { .. } => {}
            AttemptEnd::Unknown { is_disconnect, .. } => {
                progress.possible_runs += 1;
                if is_disconnect {
                    suspects::on_disconnect(&self.gateway, &self.request, &pick.instance).await;
                }
            }
            AttemptEnd::Failure(_) => progress.possible_runs += 1,
        }
        progress.tried.push(pick.instance);
        ResumeResult::NextUpstream
    }

    /// Time left until the request's time limit.
    fn remaining(&self) -> Duration {
        self.request
            .respond_by
            .saturating_sub(self.gateway.clock.now())
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_finished {
            counter!("oriole_broken_streams_total", "reason" => "caller left").increment(1);
            self.gateway.log.event(&LogEvent::Broken {
                request: &self.request.id,
                reason: "caller left",
                took: self
                    .gateway
                    .clock
                    .now()
                    .saturating_sub(self.request.received_at),
            });
        }
    }
}
