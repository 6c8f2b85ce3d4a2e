//! One attempt at one upstream.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::Incoming;
use oriole_fleet::prelude::*;

use super::attempt::{HeadFacts, Verdict, judge};
use super::head;
use super::request::Asked;
use crate::decision_log::{AttemptOutcome, Event};
use crate::gateway::Gateway;
use crate::traffic::Pick;
use crate::upstream::{Connection, FRESH_FOR, SendError};

/// Counts a request at an upstream as long as it lives there.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    instance: String,
}

impl InFlightGuard {
    fn new(gateway: &Arc<Gateway>, instance: &str) -> Self {
        Self {
            gateway: gateway.clone(),
            instance: instance.to_owned(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut traffic = self.gateway.traffic();
        let load = traffic.load_mut(&self.instance);
        load.own = load.own.saturating_sub(1);
    }
}

/// An upstream's answer whose body has not been read.
pub struct Live {
    /// Instance that answers.
    pub instance: String,
    /// Its answer.
    pub answer: Response<Incoming>,
    /// Time at which the attempt began.
    pub began: Duration,
    connection: Connection,
    _in_flight: InFlightGuard,
}

impl Live {
    /// Keeps the connection after the body was read in full, unless the upstream closes it.
    pub fn finish(self, gateway: &Arc<Gateway>) {
        if head::closes(self.answer.headers()) {
            return;
        }
        let mut connection = self.connection;
        connection.keep_alive = head::keep_alive_timeout(self.answer.headers());
        let (gateway, instance) = (gateway.clone(), self.instance);
        tokio::spawn(async move {
            if connection.settle().await {
                let now = gateway.clock.now();
                gateway.pool.keep(now, &instance, connection);
            }
        });
    }
}

/// How an attempt ended at its head.
pub enum TryEnd {
    /// A success whose body follows.
    Success(Box<Live>),
    /// A failure after the request ran, whose body follows.
    Failure(Box<Live>),
    /// The request did not run; whether it reached the upstream.
    NotRun {
        /// Why.
        reason: String,
        /// Whether it reached an upstream, which counts as a retry if it is sent again.
        reached: bool,
        /// Whether only a kept connection had ended.
        is_stale: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// Sends a request to an upstream and judges the head of its answer.
pub async fn run(
    gateway: &Arc<Gateway>,
    asked: &Asked,
    pick: &Pick,
    attempt: u32,
    last_event: Option<u64>,
    head_timeout: Duration,
) -> TryEnd {
    let began = gateway.clock.now();
    let guard = InFlightGuard::new(gateway, &pick.instance);
    let sent = tokio::time::timeout(head_timeout, send(gateway, asked, pick, last_event))
        .await
        .unwrap_or_else(|_| Err(SendError::NoAnswer("no answer in time".to_owned())));
    let end = match sent {
        Ok((connection, answer)) => {
            let live = Live {
                instance: pick.instance.clone(),
                answer,
                began,
                connection,
                _in_flight: guard,
            };
            judged(gateway, asked, pick, live)
        }
        Err(e) => unanswered(gateway, pick, e),
    };
    tell(gateway, asked, pick, attempt, began, &end);
    end
}

async fn send(
    gateway: &Arc<Gateway>,
    asked: &Asked,
    pick: &Pick,
    last_event: Option<u64>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let now = gateway.clock.now();
    let max_idle = match asked.route.kind {
        RouteKind::AtMostOnce => FRESH_FOR,
        RouteKind::Idempotent | RouteKind::Stream => Duration::MAX,
    };
    let mut connection = match gateway.pool.take(now, &pick.instance, max_idle) {
        Some(connection) => connection,
        None => {
            metrics::counter!("oriole_upstream_connections_total").increment(1);
            Connection::open(pick.address).await?
        }
    };
    let left = asked
        .deadline
        .map(|d| d.saturating_sub(gateway.clock.now()));
    let names = gateway.dialect.headers();
    let req = asked
        .outgoing
        .attempt(names, &pick.instance, left, last_event);
    let answer = connection.send(req).await?;
    Ok((connection, answer))
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn judged(gateway: &Arc<Gateway>, asked: &Asked, pick: &Pick, live: Live) -> TryEnd {
    let names = gateway.dialect.headers();
    let headers = live.answer.headers();
    let facts = HeadFacts {
        status: live.answer.status(),
        echo: text(headers, &names.attempt),
        is_signed: headers.contains_key(&names.signature),
        says_not_run: headers.contains_key(&names.not_run),
        is_reused: live.connection.is_reused,
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
    };
    let took = gateway.clock.now().saturating_sub(live.began);
    metrics::histogram!("oriole_upstream_head_seconds").record(took.as_secs_f64());
    gateway.traffic().load_mut(&live.instance).answered(took);
    match judge(&asked.id, &facts) {
        Verdict::Success => {
            let now = gateway.clock.now();
            gateway.traffic().answered(now, pick);
            TryEnd::Success(Box::new(live))
        }
        Verdict::Failure => {
            let is_own_fault = live.answer.status().is_server_error();
            if is_own_fault {
                gateway.traffic().load_mut(&live.instance).failed();
            }
            TryEnd::Failure(Box::new(live))
        }
        Verdict::NotRun(reason) => {
            let status = live.answer.status();
            if status == StatusCode::MISDIRECTED_REQUEST {
                gateway.belief().misdirected(&live.instance);
            } else {
                let now = gateway.clock.now();
                gateway.traffic().load_mut(&live.instance).refused(now);
            }
            TryEnd::NotRun {
                reason: format!("{reason} ({status})"),
                reached: true,
                is_stale: false,
            }
        }
        Verdict::Unknown(reason) => {
            gateway.traffic().load_mut(&live.instance).failed();
            TryEnd::Unknown {
                reason: reason.to_owned(),
            }
        }
    }
}

fn unanswered(gateway: &Gateway, pick: &Pick, e: SendError) -> TryEnd {
    let now = gateway.clock.now();
    match e {
        SendError::NotSent { reason, is_stale } => {
            if !is_stale {
                gateway.traffic().load_mut(&pick.instance).unreachable(now);
            }
            TryEnd::NotRun {
                reason,
                reached: false,
                is_stale,
            }
        }
        SendError::NoAnswer(reason) => {
            gateway.traffic().load_mut(&pick.instance).unreachable(now);
            TryEnd::Unknown { reason }
        }
    }
}

fn tell(
    gateway: &Gateway,
    asked: &Asked,
    pick: &Pick,
    attempt: u32,
    began: Duration,
    end: &TryEnd,
) {
    let status;
    let (outcome, reason) = match end {
        TryEnd::Success(_) => return,
        TryEnd::Failure(live) => {
            status = live.answer.status();
            (AttemptOutcome::Answered, status.as_str())
        }
        TryEnd::NotRun { reason, .. } => (AttemptOutcome::NotRun, reason.as_str()),
        TryEnd::Unknown { reason } => (AttemptOutcome::Unknown, reason.as_str()),
    };
    gateway.log.event(&Event::Attempt {
        request: &asked.id,
        attempt,
        instance: &pick.instance,
        outcome,
        reason,
        took: gateway.clock.now().saturating_sub(began),
    });
}
