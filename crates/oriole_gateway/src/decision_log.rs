//! One log line for each decision that touches a request or changes what is believed.
//!
//! Each kind of line has a budget a second; what goes beyond is counted and told in a line of its
//! own. The writer is a bounded queue that drops rather than blocks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use metrics::counter;
use oriole_kernel::clock::Clock;
use slog::{Logger, info, warn};

use crate::fleet_view::FleetChange;
use crate::refusal::Refusal;
use crate::traffic::Pick;

/// Lines of one kind that are written in a second.
const MAX_LINES_PER_S: u32 = 60;

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It brought a whole answer, or the head of a stream.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A line of the log.
#[derive(Debug)]
pub enum LogEvent<'a> {
    /// The process listens.
    Started {
        /// Random number of this run.
        incarnation: u64,
    },
    /// The process was told to stop.
    Stopping {
        /// Requests that are not answered yet.
        in_flight: usize,
    },
    /// The process is about to end.
    Stopped {
        /// Requests that were cut off.
        in_flight: usize,
    },
    /// The settings file was read again.
    Reloaded {
        /// What came of it.
        outcome: &'a str,
    },
    /// The process became ready, or not.
    Readiness {
        /// What it is now.
        now: &'a str,
    },
    /// The store was lost or regained.
    Store {
        /// What it is now.
        now: &'a str,
        /// Prefix that is followed.
        prefix: &'a str,
        /// Why.
        reason: &'a str,
        /// Revision up to which changes are known.
        revision: u64,
    },
    /// A change of what is believed.
    FleetChanged {
        /// The change.
        change: &'a FleetChange,
        /// Who told it.
        source: &'a str,
        /// Highest revision of the belief afterwards.
        version: u64,
    },
    /// A member of the mesh was lost or regained.
    Member {
        /// VM.
        name: &'a str,
        /// What it is now.
        now: &'a str,
    },
    /// Items came from a peer.
    Pulled {
        /// Peer.
        peer: SocketAddr,
        /// Revisions after which they changed.
        since: &'a [u64],
        /// Number of items.
        items: usize,
    },
    /// A call to a peer, or something of it, failed.
    CallFailed {
        /// Step.
        step: &'a str,
        /// Peer, if one is known.
        peer: Option<SocketAddr>,
        /// What went wrong.
        error: &'a str,
    },
    /// An upstream was picked for an attempt.
    Picked {
        /// Request.
        request: &'a str,
        /// Ordinal of the attempt.
        attempt: u32,
        /// The pick and its inputs.
        pick: &'a Pick,
        /// Version of the configuration.
        configuration: u64,
        /// Revision of the belief.
        version: u64,
    },
    /// A request waits for an upstream.
    Waits {
        /// Request.
        request: &'a str,
        /// Why there is none now.
        reason: &'static str,
        /// Longest time that it waits.
        max_wait: Duration,
    },
    /// An attempt ended.
    Attempt {
        /// Request.
        request: &'a str,
        /// Ordinal of the attempt.
        attempt: u32,
        /// Upstream.
        instance: &'a str,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Why.
        reason: &'a str,
        /// Time that it took.
        took: Duration,
    },
    /// A stream goes on at another upstream, or cannot.
    Resume {
        /// Request.
        request: &'a str,
        /// Last event that the caller has.
        after: Option<u64>,
        /// Whether it goes on.
        outcome: &'a str,
        /// Why it broke.
        reason: &'a str,
    },
    /// A request was refused or failed.
    Refused {
        /// Request.
        request: &'a str,
        /// Client account, if it is known.
        account: &'a str,
        /// Route, if there is one.
        route: &'a str,
        /// Why.
        refusal: Refusal,
        /// Retry-After that the caller was told.
        retry_after: Option<Duration>,
        /// Time since the request came.
        held: Duration,
        /// Attempts that were made.
        attempts: u32,
        /// Version of the configuration.
        configuration: u64,
    },
    /// A request was answered in full.
    Answered {
        /// Request.
        request: &'a str,
        /// Client account.
        account: &'a str,
        /// Route.
        route: &'a str,
        /// Status.
        status: u16,
        /// Attempts that were made.
        attempts: u32,
        /// Time since the request came.
        took: Duration,
    },
    /// A request ended without a whole answer after its head was sent, or the caller left.
    Broken {
        /// Request.
        request: &'a str,
        /// Why.
        reason: &'a str,
        /// Time since the request came.
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
            LogEvent::Attempt { .. } => "attempt",
            LogEvent::Resume { .. } => "resume",
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

/// Writes events as log lines, within a budget for each kind.
pub struct DecisionLog {
    log: Logger,
    clock: Clock,
    budgets: Mutex<HashMap<&'static str, LineBudget>>,
}

impl DecisionLog {
    /// A log that writes to a logger.
    #[must_use]
    pub fn new(log: Logger, clock: Clock) -> Self {
        Self {
            log,
            clock,
            budgets: Mutex::new(HashMap::new()),
        }
    }

    /// Writes an event, or counts it if its kind has spent its budget.
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
            LogEvent::Attempt {
                request,
                attempt,
                instance,
                outcome,
                reason,
                took,
            } => {
                info!(log, "attempt"; "request" => request, "attempt" => attempt,
                    "upstream" => instance, "outcome" => format!("{outcome:?}"),
                    "reason" => reason, "took_ms" => millis(*took));
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
            LogEvent::Refused {
                request,
                account,
                route,
                refusal,
                retry_after,
                held,
                attempts,
                configuration,
            } => {
                info!(log, "refused"; "request" => request, "account" => account,
                    "route" => route, "reason" => refusal.as_str(),
                    "status" => refusal.status().as_u16(),
                    "retry_after_ms" => retry_after.map(millis), "held_ms" => millis(*held),
                    "attempts" => attempts, "configuration" => configuration);
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

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}
