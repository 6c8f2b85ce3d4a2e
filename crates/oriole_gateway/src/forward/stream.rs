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
use super::standstill::{all_stopped, wait_for_progress};
use super::upstream_attempt::{self, AttemptEnd, HeadPatience, LiveResponse};
use super::{
    Progress, WaitPolicy, account_name, allows_rerun, has_alternative, headers, log_unusable, pick,
    suspects, try_spend_retry,
};
use crate::decision_log::LogEvent;
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;

/// Time without an event after which a stream is resumed at another upstream, if one can take it.
/// Callers leave after about two seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Largest event that is buffered until its end arrives. An upstream that sends more without an end of
/// an event sends no events.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Time that a resume attempt waits for the head of a response before another upstream is tried.
const RESUME_HEAD_TIMEOUT: Duration = Duration::from_millis(1300);

/// Longest time that a resume attempt may wait for a slot. Giving up would lose the events that the
/// caller already has, and the caller stays for about a second after the silence was detected.
const RESUME_MAX_WAIT: Duration = Duration::from_millis(600);

/// Reason of a stream whose upstream sent no event for [`SILENCE_TIMEOUT`].
const SILENCE: &str = "silence";

/// Outcomes of looking for another upstream.
const RESUMED: &str = "resumed";
const NOT_RESUMABLE: &str = "not resumable";
const NO_UPSTREAM: &str = "no upstream";
const STANDSTILL: &str = "group stands still";

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
        outlasts_silence: false,
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
    /// The upstream sent no event for [`SILENCE_TIMEOUT`].
    Silent,
    /// The time limit of the route or the caller has passed.
    Expired,
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
    /// Whether the present upstream is silent and no other one can take the stream.
    outlasts_silence: bool,
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
            let mut step = self.next_step(waiting_since).await;
            if let RelayStep::Silent = step {
                step = self.replace_silent_upstream().await;
            }
            match step {
                RelayStep::Silent => self.outlasts_silence = true,
                RelayStep::Events(events) if events.is_empty() => {}
                RelayStep::Events(events) => {
                    self.lacks_event = false;
                    self.outlasts_silence = false;
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
            return RelayStep::Broken(NO_UPSTREAM);
        };
        let waited_from = waiting_since.max(self.resumed_at);
        let silence_ends_at = waited_from + SILENCE_TIMEOUT;
        let silence = if self.outlasts_silence {
            Duration::MAX
        } else {
            silence_ends_at.saturating_sub(self.gateway.clock.now())
        };
        let step = read_step(live, &mut self.splitter, self.lacks_event);
        match tokio::time::timeout(silence.min(remaining), step).await {
            Ok(step) => step,
            Err(_) if remaining <= silence => RelayStep::Expired,
            Err(_) => RelayStep::Silent,
        }
    }

    /// Looks for another upstream that continues the stream of a silent one. The silent one keeps its
    /// connection until then: it may go on, and if no other takes over, only it can. Returns
    /// [`RelayStep::Silent`] if there is no other.
    async fn replace_silent_upstream(&mut self) -> RelayStep {
        if !self.request.route.allows_reexecution() {
            self.record_resume(NOT_RESUMABLE, SILENCE);
            return RelayStep::Silent;
        }
        if all_stopped(&self.gateway, &self.request) {
            self.record_resume(STANDSTILL, SILENCE);
            // Its silence is judged anew from now on.
            self.resumed_at = self.gateway.clock.now();
            return RelayStep::Events(Bytes::new());
        }
        let Some(mut silent) = self.live.take() else {
            return RelayStep::Broken(NO_UPSTREAM);
        };
        self.give_up_on(&silent.instance);
        let mut broke = None;
        let resumption = Resumption {
            gateway: &self.gateway,
            request: &self.request,
            after: self.splitter.last_id(),
            declares_events: self.declares_events,
        };
        let goes_on = async {
            loop {
                match read_step(&mut silent, &mut self.splitter, self.lacks_event).await {
                    RelayStep::Events(events) if events.is_empty() => {}
                    RelayStep::Broken(reason) => {
                        broke = Some(reason);
                        // Only another upstream can continue the stream now.
                        std::future::pending::<()>().await;
                    }
                    step => return step,
                }
            }
        };
        let outcome = tokio::select! {
            biased;
            step = goes_on => Ok(step),
            resumed = resumption.run(&mut self.progress) => Err(resumed),
        };
        self.live = Some(silent);
        match (outcome, broke) {
            (Ok(step), _) => {
                self.record_resume("upstream went on", SILENCE);
                step
            }
            (Err(Ok(live)), broke) => {
                if let Some(reason) = broke {
                    self.record_disconnect(reason).await;
                }
                self.take_over(live);
                self.record_resume(RESUMED, SILENCE);
                RelayStep::Events(Bytes::new())
            }
            (Err(Err(_)), Some(reason)) => RelayStep::Broken(reason),
            (Err(Err(why)), None) => {
                self.record_resume(why, SILENCE);
                RelayStep::Silent
            }
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

    /// Resumes a stream that broke at another upstream; returns whether that worked.
    async fn resume(&mut self, reason: &'static str) -> bool {
        if let Some(live) = self.live.take() {
            self.give_up_on(&live.instance);
        }
        let outcome = if self.request.route.allows_reexecution() {
            let resumption = Resumption {
                gateway: &self.gateway,
                request: &self.request,
                after: self.splitter.last_id(),
                declares_events: self.declares_events,
            };
            match resumption.run(&mut self.progress).await {
                Ok(live) => {
                    self.take_over(live);
                    RESUMED
                }
                Err(why) => why,
            }
        } else {
            NOT_RESUMABLE
        };
        self.record_resume(outcome, reason);
        self.live.is_some()
    }

    /// Records that an upstream broke off or is silent, so that the stream is not resumed there.
    fn give_up_on(&mut self, instance: &str) {
        let now = self.gateway.clock.now();
        let mut traffic = self.gateway.traffic();
        traffic.load_mut(instance).record_unreachable(now);
        drop(traffic);
        self.progress.tried.push(instance.to_owned());
    }

    /// Goes on with the stream of another upstream.
    fn take_over(&mut self, live: LiveResponse) {
        self.lacks_event |= self.splitter.has_partial();
        self.splitter.discard_partial();
        self.live = Some(live);
        self.outlasts_silence = false;
        self.resumed_at = self.gateway.clock.now();
        (self.began_at, self.has_passed) = (None, false);
    }

    fn record_resume(&self, outcome: &'static str, reason: &'static str) {
        counter!("oriole_resumes_total", "outcome" => outcome, "reason" => reason).increment(1);
        self.gateway.log.event(&LogEvent::Resume {
            request: &self.request.id,
            after: self.splitter.last_id(),
            outcome,
            reason,
        });
    }

    /// Time left until the request's time limit.
    fn remaining(&self) -> Duration {
        self.request
            .respond_by
            .saturating_sub(self.gateway.clock.now())
    }
}

/// Reads the next frame from an upstream. Returns how the stream goes on, without regard to time.
async fn read_step(
    live: &mut LiveResponse,
    splitter: &mut EventSplitter,
    lacks_event: bool,
) -> RelayStep {
    let has_length = live.has_length();
    match live.response.body_mut().frame().await {
        Some(Ok(frame)) => match frame.into_data() {
            Ok(data) => {
                let events = splitter.push(&data);
                live.on_events(&events);
                if splitter.partial_len() > MAX_EVENT_BYTES {
                    return RelayStep::Broken(EVENT_TOO_LARGE);
                }
                RelayStep::Events(events)
            }
            Err(_trailers) => RelayStep::Events(Bytes::new()),
        },
        Some(Err(_)) => RelayStep::Broken(CONNECTION_BROKE),
        None if splitter.has_partial() => RelayStep::Broken(ENDED_WITHIN_EVENT),
        None if lacks_event => RelayStep::Broken(ENDED_BEFORE_EVENT),
        None if !has_length && splitter.last_id().is_none() => {
            RelayStep::Broken(ENDED_WITHOUT_EVENT)
        }
        None => RelayStep::End,
    }
}

/// The search for an upstream that continues a stream.
struct Resumption<'a> {
    gateway: &'a Arc<Gateway>,
    request: &'a CheckedRequest,
    /// Id of the last event that the caller has.
    after: Option<u64>,
    /// Whether the head that the caller has says that the body is a stream of events.
    declares_events: bool,
}

impl Resumption<'_> {
    /// Tries one upstream after the other.
    ///
    /// # Errors
    ///
    /// Returns why no further upstream is tried.
    async fn run(&self, progress: &mut Progress) -> Result<LiveResponse, &'static str> {
        loop {
            if let Some(live) = self.try_next(progress).await? {
                return Ok(live);
            }
        }
    }

    /// Tries one upstream; returns its response if it continues the stream.
    async fn try_next(
        &self,
        progress: &mut Progress,
    ) -> Result<Option<LiveResponse>, &'static str> {
        let (gateway, request) = (self.gateway, self.request);
        let Ok(trial) = suspects::admit(gateway, request).await else {
            return Err("suspect part");
        };
        wait_for_progress(gateway, request).await;
        if gateway.clock.now() >= request.respond_by {
            return Err("time is up");
        }
        if !allows_rerun(request, progress) {
            return Err("attempts spent");
        }
        if !try_spend_retry(gateway, request, "resume") {
            return Err("budget spent");
        }
        let policy = WaitPolicy::Queue(RESUME_MAX_WAIT);
        let Ok(pick) = pick(gateway, request, progress, policy, trial.as_ref()) else {
            return Err(NO_UPSTREAM);
        };
        progress.attempts += 1;
        // The request may have run until the attempt shows otherwise.
        progress.possible_runs += 1;
        let remaining = request.respond_by.saturating_sub(gateway.clock.now());
        let has_alternative = || has_alternative(gateway, request, progress, &pick.instance);
        let patience = HeadPatience {
            timeout: RESUME_HEAD_TIMEOUT,
            has_alternative: &has_alternative,
        };
        let attempt = upstream_attempt::run(
            gateway,
            request,
            &pick,
            progress.attempts,
            self.after,
            patience,
        );
        let Ok(result) = tokio::time::timeout(remaining, attempt).await else {
            return Err("time is up");
        };
        match result {
            // Its body is no part of the caller's stream, whatever its status says.
            AttemptEnd::Success(live) if self.declares_events && !live.declares_events() => {
                let reason = "no stream of events";
                upstream_attempt::record_invalid_answer(gateway, &live.instance, reason);
                log_unusable(gateway, request, &live, reason);
            }
            AttemptEnd::Success(live) => return Ok(Some(*live)),
            AttemptEnd::NotRun { .. } => progress.possible_runs -= 1,
            AttemptEnd::Unknown { is_disconnect, .. } => {
                if is_disconnect {
                    suspects::on_disconnect(gateway, request, &pick.instance).await;
                }
            }
            AttemptEnd::Failure(_) => {}
        }
        progress.tried.push(pick.instance);
        Ok(None)
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let now = self.gateway.clock.now();
        let departure = self.gateway.departure();
        let has_stopped = departure.is_some_and(|departure| now >= departure.exits_at());
        self.break_off(if has_stopped {
            "daemon stopped"
        } else {
            "caller left"
        });
    }
}
