//! Logs each decision that affects a request or changes the fleet view as one line.
//!
//! Each kind of line has a limit per second. Lines beyond it are counted, and the count is logged
//! in a separate line. The writer is a bounded queue that drops lines rather than block.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use metrics::counter;
use oriole_kernel::clock::Clock;
use oriole_types::digest::Digest;
use slog::{Logger, info, warn};

use crate::fleet_view::FleetChange;
use crate::refusal::Refusal;
use crate::traffic::Pick;

/// Most lines of one kind written per second.
const MAX_LINES_PER_S: u32 = 60;

/// Outcome of one attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It produced a complete response, or the head of a stream.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What became of an upstream whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectOutcome {
    /// It accepts no connection.
    Crashed,
    /// It accepts connections.
    Running,
    /// The fleet view does not list it any more.
    Unlisted,
}

/// An event that is logged as one line.
#[derive(Debug)]
pub enum LogEvent<'a> {
    /// The process is listening.
    Started {
        /// Random number of this run.
        incarnation: u64,
    },
    /// The process was asked to stop.
    Stopping {
        /// Requests in progress.
        in_flight: usize,
    },
    /// The process is about to exit.
    Stopped {
        /// Requests that are cut off.
        in_flight: usize,
    },
    /// The settings file was read again.
    Reloaded {
        /// Result of the reload.
        outcome: &'a str,
    },
    /// The daemon's readiness changed.
    Readiness {
        /// New readiness.
        now: &'a str,
    },
    /// Contact with the store was lost or regained, its history was dropped, or registration in it
    /// failed.
    Store {
        /// New state of the contact.
        now: &'a str,
        /// Watched prefix; empty for the registration.
        prefix: &'a str,
        /// Cause; empty if contact was regained.
        reason: &'a str,
        /// Revision up to which changes are known; zero if none are.
        revision: u64,
    },
    /// The fleet view changed.
    FleetChanged {
        /// The change.
        change: &'a FleetChange,
        /// Where the change came from: `store`, `peer` or `upstream`.
        source: &'a str,
        /// Highest revision in the fleet view after the change.
        version: u64,
    },
    /// A peer was lost or regained.
    Member {
        /// Name of the peer's VM.
        name: &'a str,
        /// New liveness of the peer.
        now: &'a str,
    },
    /// Items were pulled from a peer.
    Pulled {
        /// Address of the peer.
        peer: SocketAddr,
        /// Revisions after which the items changed, by watched prefix.
        since: &'a [u64],
        /// Number of items.
        items: usize,
    },
    /// An operation on a connection to a peer or caller failed.
    CallFailed {
        /// The operation.
        step: &'a str,
        /// Address of the other side, if known.
        peer: Option<SocketAddr>,
        /// The error.
        error: &'a str,
    },
    /// An upstream was picked for an attempt.
    Picked {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Number of the attempt, from one.
        attempt: u32,
        /// The pick with the figures that it was based on.
        pick: &'a Pick,
        /// Version of the configuration.
        configuration: u64,
        /// Highest revision in the fleet view.
        version: u64,
    },
    /// A request waits for an upstream.
    Waits {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Why no upstream was picked.
        reason: &'static str,
        /// Longest time that the request waits.
        max_wait: Duration,
    },
    /// A stream waits or is refused, because of its group's pace or a standstill.
    StreamHeld {
        /// Attempt id given by the caller.
        request: &'a str,
        /// `waits` or `refused`.
        now: &'static str,
        /// `pace` or `standstill`.
        reason: &'static str,
        /// Streams of the service that run at all daemons.
        running: u32,
        /// Limit on them.
        limit: u32,
        /// Mean pause between events.
        pause: Duration,
        /// Longest pause for which a response is on time.
        target: Duration,
        /// Time since the last event that is known.
        age: Duration,
        /// Place of its priority among those seen; zero is the most urgent.
        rank: usize,
        /// Requests that start before it.
        position: usize,
    },
    /// A group stands still, or goes on.
    GroupPace {
        /// Name of the group.
        group: &'a str,
        /// `stands still` or `goes on`.
        now: &'static str,
        /// Time without an event.
        lasted: Duration,
    },
    /// An attempt ended without a success.
    Attempt {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Number of the attempt, from one.
        attempt: u32,
        /// Digest of the request's content.
        content: &'a Digest,
        /// Instance of the upstream.
        instance: &'a str,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Reason of the outcome, or the status of the response.
        reason: &'a str,
        /// Duration of the attempt.
        took: Duration,
    },
    /// A connection broke before the response, and its upstream was examined.
    Disconnected {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Digest of the request's content.
        content: &'a Digest,
        /// Instance of the upstream.
        upstream: &'a str,
        /// What was found.
        outcome: DisconnectOutcome,
    },
    /// A broken stream was resumed at another upstream, or could not be.
    Resume {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Id of the last event that the caller received.
        after: Option<u64>,
        /// `resumed`, or why it could not be resumed.
        outcome: &'a str,
        /// Why the stream broke.
        reason: &'a str,
    },
    /// A request and its prompt parts became suspect of a crash, are being tried, or were excused.
    Suspicion {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Digest of the request's content.
        content: &'a Digest,
        /// New state of the request: `suspected`, `trial` or `excused`.
        now: &'a str,
        /// Short digests of the parts; empty if it has none.
        parts: &'a str,
        /// Upstream that crashed or lived.
        upstream: &'a str,
    },
    /// An upstream named another limit, or a value that is ignored.
    Limit {
        /// Instance of the upstream, or the hash of its run if a peer told of it.
        upstream: &'a str,
        /// `named`, `ended` or `ignored`.
        now: &'a str,
        /// Requests per second from all daemons, if it named a limit.
        per_s: Option<f64>,
        /// The ignored value.
        value: &'a str,
        /// Where the news came from: `answer` or `peer`.
        source: &'a str,
    },
    /// An upstream said in an answer that it leaves, or that it wants no requests for a while.
    Notice {
        /// Instance of the upstream.
        upstream: &'a str,
        /// `leaving`, `paused` or `ignored`.
        now: &'a str,
        /// Seconds of the pause, or the ignored value.
        value: &'a str,
    },
    /// A request was refused or failed.
    Refused {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Client account; empty if there is none.
        account: &'a str,
        /// Name of the route; empty if there is none.
        route: &'a str,
        /// Why it was refused or failed.
        refusal: Refusal,
        /// Value of the `Retry-After` header sent to the caller.
        retry_after: Option<Duration>,
        /// Time since the request arrived.
        held: Duration,
        /// Number of attempts made.
        attempts: u32,
        /// Version of the configuration.
        configuration: u64,
        /// Time since that version was known to be the newest; `None` if it never was.
        configuration_age: Option<Duration>,
    },
    /// A complete response was produced.
    Answered {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Client account; empty if there is none.
        account: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Status of the response.
        status: u16,
        /// Number of attempts made.
        attempts: u32,
        /// Time since the request arrived.
        took: Duration,
    },
    /// A response was interrupted after its head was sent, or the caller disconnected.
    Broken {
        /// Attempt id given by the caller.
        request: &'a str,
        /// Why it was interrupted.
        reason: &'a str,
        /// Time since the request arrived.
        took: Duration,
    },
}

impl LogEvent<'_> {
    fn kind(&self) -> &'static str {
        match self {
            LogEvent::Started { .. } => "started",
            LogEvent::Stopping { .. } => "stopping",
            LogEvent::Stopped { .. } => "stopped",
            LogEvent::Reloaded { .. } => "reloaded",
            LogEvent::Readiness { .. } => "readiness",
            LogEvent::Store { .. } => "store",
            LogEvent::FleetChanged { .. } => "belief",
            LogEvent::Member { .. } => "member",
            LogEvent::Pulled { .. } => "pulled",
            LogEvent::CallFailed { .. } => "call_failed",
            LogEvent::Picked { .. } => "picked",
            LogEvent::Waits { .. } => "waits",
            LogEvent::StreamHeld { .. } => "stream held",
            LogEvent::GroupPace { .. } => "group pace",
            LogEvent::Attempt { .. } => "attempt",
            LogEvent::Disconnected { .. } => "disconnected",
            LogEvent::Resume { .. } => "resume",
            LogEvent::Suspicion { .. } => "suspicion",
            LogEvent::Limit { .. } => "limit",
            LogEvent::Notice { .. } => "notice",
            LogEvent::Refused { .. } => "refused",
            LogEvent::Answered { .. } => "answered",
            LogEvent::Broken { .. } => "broken",
        }
    }
}

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Writes events as log lines, with a limit per second for each kind.
pub struct DecisionLog {
    log: Logger,
    clock: Clock,
    budgets: Mutex<HashMap<&'static str, LineBudget>>,
}

impl DecisionLog {
    /// Creates a log that writes to `log`.
    #[must_use]
    pub fn new(log: Logger, clock: Clock) -> Self {
        Self {
            log,
            clock,
            budgets: Mutex::new(HashMap::new()),
        }
    }

    /// Writes an event, or only counts it if the limit for its kind is reached.
    pub fn event(&self, event: &LogEvent<'_>) {
        let kind = event.kind();
        let (may_write, suppressed) = self.take_line(kind);
        if suppressed > 0 {
            warn!(self.log, "lines left out"; "kind" => kind, "lines" => suppressed);
        }
        if may_write {
            self.write(event);
        } else {
            counter!("oriole_log_lines_left_out_total", "kind" => kind).increment(1);
        }
    }

    fn take_line(&self, kind: &'static str) -> (bool, u64) {
        let second = self.clock.now().as_secs();
        let mut budgets = self
            .budgets
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let budget = budgets.entry(kind).or_default();
        let mut suppressed = 0;
        if budget.second != second {
            suppressed = std::mem::take(&mut budget.suppressed);
            budget.second = second;
            budget.written = 0;
        }
        budget.written += 1;
        let may_write = budget.written <= MAX_LINES_PER_S;
        if !may_write {
            budget.suppressed += 1;
        }
        (may_write, suppressed)
    }

    fn write(&self, event: &LogEvent<'_>) {
        let log = &self.log;
        match event {
            LogEvent::Started { incarnation } => {
                info!(log, "started"; "incarnation" => format!("{incarnation:016x}"));
            }
            LogEvent::Stopping { in_flight } => info!(log, "stopping"; "in_flight" => in_flight),
            LogEvent::Stopped { in_flight } => info!(log, "stopped"; "in_flight" => in_flight),
            LogEvent::Reloaded { outcome } => info!(log, "reloaded"; "outcome" => outcome),
            LogEvent::Readiness { now } => info!(log, "readiness"; "now" => now),
            LogEvent::Store {
                now,
                prefix,
                reason,
                revision,
            } => {
                info!(log, "store"; "now" => now, "prefix" => prefix, "reason" => reason,
                    "revision" => revision);
            }
            LogEvent::FleetChanged {
                change,
                source,
                version,
            } => {
                info!(log, "belief"; "change" => format!("{change:?}"), "source" => source,
                    "version" => version);
            }
            LogEvent::Member { name, now } => info!(log, "member"; "name" => name, "now" => now),
            LogEvent::Pulled { peer, since, items } => {
                info!(log, "pulled"; "peer" => %peer, "since" => format!("{since:?}"), "items" => items);
            }
            LogEvent::CallFailed { step, peer, error } => {
                let peer = peer.map_or_else(String::new, |p| p.to_string());
                warn!(log, "call failed"; "step" => step, "peer" => peer, "error" => error);
            }
            LogEvent::Picked {
                request,
                attempt,
                pick,
                configuration,
                version,
            } => {
                info!(log, "picked"; "request" => request, "attempt" => attempt,
                    "upstream" => &pick.instance, "in_flight" => pick.in_flight,
                    "capacity" => pick.capacity, "candidates" => pick.candidates,
                    "configuration" => configuration, "version" => version);
            }
            LogEvent::Waits {
                request,
                reason,
                max_wait,
            } => {
                info!(log, "waits"; "request" => request, "reason" => reason,
                    "longest_ms" => millis(*max_wait));
            }
            LogEvent::StreamHeld {
                request,
                now,
                reason,
                running,
                limit,
                pause,
                target,
                age,
                rank,
                position,
            } => {
                info!(log, "stream held"; "request" => request, "now" => now, "reason" => reason,
                    "running" => running, "limit" => limit, "pause_ms" => millis(*pause),
                    "target_ms" => millis(*target), "age_ms" => millis(*age),
                    "rank" => rank, "position" => position);
            }
            LogEvent::GroupPace { group, now, lasted } => {
                info!(log, "group pace"; "group" => group, "now" => now,
                    "lasted_ms" => millis(*lasted));
            }
            LogEvent::Attempt {
                request,
                attempt,
                content,
                instance,
                outcome,
                reason,
                took,
            } => {
                info!(log, "attempt"; "request" => request, "attempt" => attempt,
                    "content" => short_digest(content), "upstream" => instance, "outcome" => format!("{outcome:?}"),
                    "reason" => reason, "took_ms" => millis(*took));
            }
            LogEvent::Disconnected {
                request,
                content,
                upstream,
                outcome,
            } => {
                info!(log, "disconnected"; "request" => request, "content" => short_digest(content),
                    "upstream" => upstream, "outcome" => format!("{outcome:?}"));
            }
            LogEvent::Resume {
                request,
                after,
                outcome,
                reason,
            } => {
                info!(log, "resume"; "request" => request, "after" => after, "outcome" => outcome,
                    "reason" => reason);
            }
            LogEvent::Suspicion {
                request,
                content,
                now,
                parts,
                upstream,
            } => {
                info!(log, "suspicion"; "request" => request, "now" => now,
                    "content" => short_digest(content), "parts" => parts, "upstream" => upstream);
            }
            LogEvent::Limit {
                upstream,
                now,
                per_s,
                value,
                source,
            } => {
                info!(log, "limit"; "upstream" => upstream, "now" => now, "per_s" => per_s,
                    "value" => value, "source" => source);
            }
            LogEvent::Notice {
                upstream,
                now,
                value,
            } => {
                info!(log, "notice"; "upstream" => upstream, "now" => now, "value" => value);
            }
            LogEvent::Refused {
                request,
                account,
                route,
                refusal,
                retry_after,
                held,
                attempts,
                configuration,
                configuration_age,
            } => {
                info!(log, "refused"; "request" => request, "account" => account,
                    "route" => route, "reason" => refusal.as_str(),
                    "status" => refusal.status().as_u16(),
                    "retry_after_ms" => retry_after.map(millis), "held_ms" => millis(*held),
                    "attempts" => attempts, "configuration" => configuration,
                    "configuration_age_ms" => configuration_age.map(millis));
            }
            LogEvent::Answered {
                request,
                account,
                route,
                status,
                attempts,
                took,
            } => {
                info!(log, "answered"; "request" => request, "account" => account,
                    "route" => route, "status" => status, "attempts" => attempts,
                    "took_ms" => millis(*took));
            }
            LogEvent::Broken {
                request,
                reason,
                took,
            } => {
                info!(log, "broken"; "request" => request, "reason" => reason,
                    "took_ms" => millis(*took));
            }
        }
    }
}

/// The first eight bytes of a digest in hexadecimal.
pub fn short_digest(digest: &Digest) -> String {
    format!("{:016x}", digest.prefix_u64())
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}
