//! The life of one request: its attempts, its answer, its events.

pub mod attempt;
pub mod body;
pub mod events;
pub mod head;
pub mod request;
mod stream;
mod upstream_try;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use oriole_fleet::prelude::*;

use self::body::{AnswerBody, full};
use self::request::{Asked, TurnedAway};
use self::upstream_try::{Live, TryEnd};
use crate::decision_log::Event;
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;
use crate::traffic::{Pick, PickAsk};

/// Upstreams that one request is offered to at most, those that refuse it included.
const MAX_OFFERS: u32 = 4;

/// Largest answer that is read in full before the caller gets its head, so that one that breaks off
/// can be asked for again.
const MAX_BUFFERED_ANSWER: usize = 1024 * 1024;

/// Objectives that an idempotent request waits at one upstream before another is asked.
const SLOW_OBJECTIVES: u32 = 3;

/// Time for which a resumable stream waits for the head of an answer before another upstream is
/// asked; callers give up about a second later.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1300);

/// Share of a route's objective that a request may wait for a place; the rest is for its own work.
/// Places are as busy with a short queue as with a long one, and more answers come in time.
pub const QUEUE_SHARE: f64 = 0.5;

/// Time spent on leaving after which new requests are refused: what began before can still end.
const LEAVING_ACCEPTS: Duration = Duration::from_millis(3500);

/// Requests that one daemon lets wait for a group at the same time; its memory bounds them.
const MAX_WAITING: usize = 128;

/// Time after its arrival at which a request that waited for a group is refused if it has not begun:
/// callers leave after about two seconds without an event, and the first one takes some hundred
/// milliseconds.
const LATEST_BEGIN: Duration = Duration::from_millis(1500);

/// Time between two looks of a waiting request.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// An end that is not an upstream's answer.
#[derive(Clone, Copy, Debug)]
struct Ended {
    refusal: Refusal,
    retry_after: Option<Duration>,
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: refusal.retry_after(),
        }
    }
}

/// Why a request has no upstream.
struct NoUpstream {
    ended: Ended,
    /// Time for which it makes sense to wait and look again, if it does.
    wait: Option<Duration>,
}

/// How far a request has come.
#[derive(Debug, Default)]
struct Progress {
    /// Attempts at upstreams, refused ones included.
    offers: u32,
    /// Attempts that may have run.
    runs: u32,
    /// Instances that were tried.
    tried: Vec<String>,
}

/// Serves one request of a caller.
pub async fn serve(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let guard = CountGuard::new(&gateway, |g| &g.active_requests);
    let came = gateway.clock.now();
    gateway.started().await;
    let mut answer = if is_closed_to_new(&gateway, came) {
        let id = attempt_id(&gateway, &req);
        turned_away(
            &gateway,
            came,
            &TurnedAway {
                id,
                route: String::new(),
                refusal: Refusal::Leaving,
            },
        )
    } else {
        match request::read(&gateway, req).await {
            Ok(asked) => forward(&gateway, asked, guard).await,
            Err(away) => turned_away(&gateway, came, &away),
        }
    };
    if gateway.leaving_since().is_some() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn attempt_id(gateway: &Gateway, req: &Request<Incoming>) -> String {
    let name = &gateway.dialect.headers().attempt;
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn is_closed_to_new(gateway: &Gateway, now: Duration) -> bool {
    gateway
        .leaving_since()
        .is_some_and(|since| now >= since + LEAVING_ACCEPTS)
}

async fn forward(gateway: &Arc<Gateway>, asked: Asked, guard: CountGuard) -> Response<AnswerBody> {
    gateway.traffic().request(asked.came, &asked.service);
    let mut progress = Progress::default();
    let left = asked.limit.saturating_sub(gateway.clock.now());
    let attempts = run_attempts(gateway, &asked, &mut progress);
    let end = match tokio::time::timeout(left, attempts).await {
        Ok(end) => end,
        Err(_) if progress.runs == 0 => Err(Refusal::ExpiredUnrun.into()),
        Err(_) => Err(Refusal::Expired.into()),
    };
    match end {
        Ok(Answer::Whole { head, body }) => {
            answered(gateway, &asked, &progress, head.status.as_u16());
            Response::from_parts(head, full(body))
        }
        Ok(Answer::Stream(live)) => stream::answer(gateway.clone(), asked, progress, *live, guard),
        Err(ended) => refused(gateway, &asked, &progress, ended),
    }
}

/// An upstream's answer on its way to the caller.
enum Answer {
    /// Read in full.
    Whole {
        head: http::response::Parts,
        body: Bytes,
    },
    /// Read as it comes.
    Stream(Box<Live>),
}

async fn run_attempts(
    gateway: &Arc<Gateway>,
    asked: &Asked,
    progress: &mut Progress,
) -> Result<Answer, Ended> {
    let mut fallback = None;
    let mut waiting = None;
    loop {
        let patience = if waiting.is_some() {
            Patience::Late
        } else {
            Patience::Queue(asked.route.latency_objective.mul_f64(QUEUE_SHARE))
        };
        let pick = match pick(gateway, asked, progress, patience) {
            Ok(pick) => pick,
            Err(no) if may_wait(gateway, asked, &no, &mut waiting) => {
                tokio::time::sleep(LOOK_AGAIN).await;
                continue;
            }
            // A failure that an upstream gave is a better answer than one of our own.
            Err(no) => return fallback.ok_or(no.ended),
        };
        if waiting.is_some() && progress.offers == 0 {
            let waited = gateway.clock.now().saturating_sub(asked.came);
            histogram!("oriole_wait_seconds").record(waited.as_secs_f64());
        }
        progress.offers += 1;
        let timeout = head_timeout(asked, progress);
        // Until the end is known it may have run.
        progress.runs += 1;
        let end = upstream_try::run(
            gateway,
            asked,
            &pick,
            progress.offers,
            asked.last_event,
            timeout,
        )
        .await;
        match end {
            TryEnd::Success(live) if is_event_stream(asked, &live) => {
                return Ok(Answer::Stream(live));
            }
            TryEnd::Success(live) => match read_whole(gateway, *live).await {
                Some(answer) => return Ok(answer),
                None => progress.tried.push(pick.instance),
            },
            TryEnd::Failure(live) => {
                let may_be_better = live.answer.status().is_server_error();
                let answer = read_whole(gateway, *live).await;
                if !may_be_better && let Some(answer) = answer {
                    return Ok(answer);
                }
                fallback = answer.or(fallback);
                progress.tried.push(pick.instance);
            }
            TryEnd::NotRun {
                reached, is_stale, ..
            } => {
                progress.runs -= 1;
                if !is_stale {
                    progress.tried.push(pick.instance);
                }
                if let Err(ended) = may_offer_again(gateway, asked, progress, reached) {
                    return fallback.ok_or(ended);
                }
                continue;
            }
            TryEnd::Unknown { .. } => progress.tried.push(pick.instance),
        }
        if let Err(ended) = may_run_again(gateway, asked, progress) {
            return fallback.ok_or(ended);
        }
    }
}

fn is_event_stream(asked: &Asked, live: &Live) -> bool {
    let is_declared = live
        .answer
        .headers()
        .get(header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
    is_declared || asked.route.kind == RouteKind::Stream
}

/// Time that the next attempt has for the head of its answer.
fn head_timeout(asked: &Asked, progress: &Progress) -> Duration {
    let has_another =
        asked.route.allows_reexecution() && progress.runs + 1 < asked.route.max_attempts;
    match asked.route.kind {
        _ if !has_another => Duration::MAX,
        RouteKind::Stream => STREAM_HEAD_TIMEOUT,
        RouteKind::Idempotent | RouteKind::AtMostOnce => {
            asked.route.latency_objective * SLOW_OBJECTIVES
        }
    }
    .min(asked.route.timeout)
}

/// What a request waits for.
#[derive(Clone, Copy, Debug)]
enum Patience {
    /// A place that is free within some time.
    Queue(Duration),
    /// A place that nobody needs who can still be answered in time.
    Late,
}

/// Picks the upstream of the next attempt, if one is free as the request needs it.
fn pick(
    gateway: &Gateway,
    asked: &Asked,
    progress: &Progress,
    patience: Patience,
) -> Result<Pick, NoUpstream> {
    let now = gateway.clock.now();
    let share = gateway.share();
    let ask = PickAsk {
        service: asked.cfg.services.get(&asked.service),
        patience: match patience {
            Patience::Queue(longest) => longest,
            Patience::Late => Duration::ZERO,
        },
        tried: &progress.tried,
        may_probe: progress.offers == 0,
        is_late: matches!(patience, Patience::Late),
    };
    let belief = gateway.belief();
    let usable = belief.usable(now, &asked.service);
    let picked = gateway
        .traffic()
        .pick(now, share, &ask, usable, &mut rand::rng());
    match picked {
        Ok(pick) => {
            gateway.log.event(&Event::Picked {
                request: &asked.id,
                attempt: progress.offers + 1,
                pick: &pick,
                configuration: asked.cfg.version,
                version: belief.version(),
            });
            Ok(pick)
        }
        Err(_) if progress.runs > 0 => Err(NoUpstream {
            ended: Refusal::UpstreamFailed.into(),
            wait: None,
        }),
        Err(no) => Err(NoUpstream {
            ended: Ended {
                refusal: no.reason,
                retry_after: Some(no.retry_after),
            },
            wait: no.wait,
        }),
    }
}

/// Whether a request waits for a group of its service; counted and logged once.
fn may_wait(
    gateway: &Arc<Gateway>,
    asked: &Asked,
    no: &NoUpstream,
    waiting: &mut Option<CountGuard>,
) -> bool {
    if waiting.is_some() {
        let is_worth_it = no.wait.is_some() || matches!(no.ended.refusal, Refusal::Busy);
        return is_worth_it && gateway.clock.now() < asked.came + LATEST_BEGIN;
    }
    if no.wait.is_none() {
        return false;
    }
    if gateway.waiting_requests.load(Ordering::Relaxed) >= MAX_WAITING {
        return false;
    }
    *waiting = Some(CountGuard::new(gateway, |g| &g.waiting_requests));
    counter!("oriole_waits_total", "reason" => no.ended.refusal.as_str()).increment(1);
    gateway.log.event(&Event::Waits {
        request: &asked.id,
        reason: no.ended.refusal.as_str(),
        longest: no.wait.unwrap_or_default(),
    });
    true
}

/// Whether a request that did not run may be offered to another upstream.
fn may_offer_again(
    gateway: &Gateway,
    asked: &Asked,
    progress: &Progress,
    reached: bool,
) -> Result<(), Ended> {
    let refusal = if progress.offers >= MAX_OFFERS {
        Refusal::Rejected
    } else if reached && !try_retry(gateway, asked, "not_run") {
        Refusal::BudgetSpent
    } else {
        return Ok(());
    };
    // An earlier attempt may have run: then no refusal that promises otherwise.
    if progress.runs > 0 {
        return Err(Refusal::UpstreamFailed.into());
    }
    Err(refusal.into())
}

/// Whether a request that may have run may run once more.
fn may_run_again(gateway: &Gateway, asked: &Asked, progress: &Progress) -> Result<(), Ended> {
    let may = asked.route.allows_reexecution()
        && progress.runs < asked.route.max_attempts
        && progress.offers < MAX_OFFERS
        && try_retry(gateway, asked, "unknown");
    if may {
        Ok(())
    } else {
        Err(Refusal::UpstreamFailed.into())
    }
}

fn try_retry(gateway: &Gateway, asked: &Asked, reason: &'static str) -> bool {
    let now = gateway.clock.now();
    let share = gateway.share();
    let may = gateway.traffic().try_retry(now, &asked.service, share);
    let name = if may {
        "oriole_retries_total"
    } else {
        "oriole_retries_refused_total"
    };
    counter!(name, "reason" => reason).increment(1);
    may
}

/// Reads an answer's body; `None` if it breaks off.
async fn read_whole(gateway: &Arc<Gateway>, mut live: Live) -> Option<Answer> {
    let (head, ()) = head::answer_head(&live.answer).body(()).ok()?.into_parts();
    let body = Limited::new(live.answer.body_mut(), MAX_BUFFERED_ANSWER)
        .collect()
        .await;
    let now = gateway.clock.now();
    let Ok(body) = body else {
        gateway.traffic().load_mut(&live.instance).failed();
        return None;
    };
    if head.status.is_success() {
        let took = now.saturating_sub(live.began);
        gateway.traffic().load_mut(&live.instance).succeeded(took);
    }
    live.finish(gateway);
    Some(Answer::Whole {
        head,
        body: body.to_bytes(),
    })
}

fn answered(gateway: &Gateway, asked: &Asked, progress: &Progress, status: u16) {
    let took = gateway.clock.now().saturating_sub(asked.came);
    counter!("oriole_answered_total").increment(1);
    histogram!("oriole_answer_seconds").record(took.as_secs_f64());
    gateway.log.event(&Event::Answered {
        request: &asked.id,
        account: account_name(asked),
        route: &asked.route.name,
        status,
        attempts: progress.offers,
        took,
    });
}

fn account_name(asked: &Asked) -> &str {
    asked.account.as_ref().map_or("", |a| a.name.as_str())
}

fn refused(
    gateway: &Gateway,
    asked: &Asked,
    progress: &Progress,
    ended: Ended,
) -> Response<AnswerBody> {
    gateway.log.event(&Event::Refused {
        request: &asked.id,
        account: account_name(asked),
        route: &asked.route.name,
        refusal: ended.refusal,
        retry_after: ended.retry_after,
        held: gateway.clock.now().saturating_sub(asked.came),
        attempts: progress.offers,
        configuration: asked.cfg.version,
    });
    refusal_answer(gateway, &asked.id, ended)
}

fn turned_away(gateway: &Gateway, came: Duration, away: &TurnedAway) -> Response<AnswerBody> {
    let ended = Ended::from(away.refusal);
    let configuration = gateway.belief().configuration().map_or(0, |c| c.version);
    gateway.log.event(&Event::Refused {
        request: &away.id,
        account: "",
        route: &away.route,
        refusal: away.refusal,
        retry_after: ended.retry_after,
        held: gateway.clock.now().saturating_sub(came),
        attempts: 0,
        configuration,
    });
    refusal_answer(gateway, &away.id, ended)
}

fn refusal_answer(gateway: &Gateway, id: &str, ended: Ended) -> Response<AnswerBody> {
    let reason = ended.refusal.as_str();
    counter!("oriole_refused_total", "reason" => reason).increment(1);
    let mut answer = Response::new(full(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = ended.refusal.status();
    let headers = answer.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(gateway.dialect.headers().attempt.clone(), id);
    }
    if let Some(after) = ended.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    if matches!(ended.refusal, Refusal::Malformed | Refusal::TooLarge) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
