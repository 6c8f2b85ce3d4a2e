//! Decides which connections a listener may have.
//!
//! A state machine: events and the time go in, decisions come out.

use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Time for a whole request (head and body), from its first byte.
    pub request_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
    /// Time for a whole response, from the end of its request until the peer has taken it.
    pub response_timeout: Duration,
    /// Time without progress after which an unread response no longer protects its connection.
    pub stalled_reader: Duration,
}

impl Default for ConnectionLimits {
    /// The limits that `docs/design/hard-load.md` states for listeners that serve no requests.
    fn default() -> Self {
        Self {
            max_connections: 256,
            request_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            response_timeout: Duration::from_secs(15),
            stalled_reader: Duration::from_secs(2),
        }
    }
}

/// Number of a connection; unique within a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a listener does with a connection that it has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is served.
    Granted(ConnectionId),
    /// This other connection is to be closed first. Ask again when it has ended, or when it has
    /// received a request after all.
    Close(ConnectionId),
    /// No connection can be closed now. Ask again after the next event, and at this time.
    Wait(Option<Duration>),
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.as_str())]
pub enum CloseReason {
    /// All connections were taken, and it was the one without a request for the longest time.
    Replaced,
    /// Its request did not arrive completely in time.
    SlowRequest,
    /// It had no request for too long.
    Idle,
    /// Its peer did not take the response in time.
    SlowReader,
}

impl CloseReason {
    /// The reason in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::SlowRequest => "slow_request",
            Self::Idle => "idle",
            Self::SlowReader => "slow_reader",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Without a request.
    Waiting,
    /// A part of a request has arrived.
    Receiving { since: Duration },
    /// A whole request has arrived, and its response is not sent completely.
    Answering {
        since: Duration,
        progress: Duration,
        /// Whether bytes of the next request have arrived.
        next_request: bool,
    },
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// Time at which it was accepted or its last response was sent. Bytes of an unfinished request
    /// do not renew it, so that a peer cannot keep its place by sending a request slowly.
    last_used: Duration,
    /// Whether it was chosen to be closed.
    closing: bool,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionSlots {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ConnectionSlots {
    /// Creates slots that are all free.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Decides about an accepted connection.
    pub fn request(&mut self, now: Duration) -> Admission {
        if self.connections.len() < self.limits.max_connections {
            return self.grant(now);
        }
        if self.connections.values().any(|c| c.closing) {
            return Admission::Wait(None);
        }
        match self.to_replace(now) {
            Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.closing = true;
                }
                Admission::Close(id)
            }
            None => Admission::Wait(self.first_stall()),
        }
    }

    fn grant(&mut self, now: Duration) -> Admission {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            phase: Phase::Waiting,
            last_used: now,
            closing: false,
        };
        self.connections.insert(id, connection);
        Admission::Granted(id)
    }

    /// The connection without a whole request that was not used for the longest time, or else the
    /// one whose peer has taken nothing of its response for the longest time.
    fn to_replace(&self, now: Duration) -> Option<ConnectionId> {
        let unanswered = self.connections.iter().filter(|(_, c)| !c.is_answering());
        let longest_unused = unanswered.min_by_key(|(id, c)| (c.last_used, **id));
        let stalled = self
            .connections
            .iter()
            .filter_map(|(id, c)| Some((c.stalled_at(&self.limits)?, *id)))
            .filter(|(stalled_at, _)| *stalled_at <= now);
        longest_unused
            .map(|(id, _)| *id)
            .or_else(|| stalled.min().map(|(_, id)| id))
    }

    /// Time at which the first response counts as stalled.
    fn first_stall(&self) -> Option<Duration> {
        let connections = self.connections.values();
        connections.filter_map(|c| c.stalled_at(&self.limits)).min()
    }

    /// Bytes have arrived on a connection.
    pub fn on_received(&mut self, id: ConnectionId, now: Duration) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match &mut connection.phase {
            Phase::Waiting => connection.phase = Phase::Receiving { since: now },
            Phase::Receiving { .. } => {}
            Phase::Answering { next_request, .. } => *next_request = true,
        }
    }

    /// A whole request has arrived on a connection, which is then not closed for another one.
    pub fn on_request(&mut self, id: ConnectionId, now: Duration) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = false;
            connection.phase = Phase::Answering {
                since: now,
                progress: now,
                next_request: false,
            };
        }
    }

    /// The peer has taken a part of the response.
    pub fn on_progress(&mut self, id: ConnectionId, now: Duration) {
        let phase = self.connections.get_mut(&id).map(|c| &mut c.phase);
        if let Some(Phase::Answering { progress, .. }) = phase {
            *progress = now;
        }
    }

    /// The response was sent completely.
    pub fn on_response_sent(&mut self, id: ConnectionId, now: Duration) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if let Phase::Answering { next_request, .. } = connection.phase {
            connection.last_used = now;
            connection.phase = if next_request {
                Phase::Receiving { since: now }
            } else {
                Phase::Waiting
            };
        }
    }

    /// A connection has ended.
    pub fn on_closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Whether a connection was chosen to be closed, and has received no request since.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|c| c.closing)
    }

    /// Time at which a connection is to be closed unless something happens on it, and the reason;
    /// `None` if it has ended.
    #[must_use]
    pub fn deadline(&self, id: ConnectionId) -> Option<(Duration, CloseReason)> {
        let connection = self.connections.get(&id)?;
        let limits = &self.limits;
        Some(match connection.phase {
            Phase::Waiting => (
                connection.last_used + limits.idle_timeout,
                CloseReason::Idle,
            ),
            Phase::Receiving { since } => {
                (since + limits.request_timeout, CloseReason::SlowRequest)
            }
            Phase::Answering { since, .. } => {
                (since + limits.response_timeout, CloseReason::SlowReader)
            }
        })
    }
}

impl Connection {
    fn is_answering(&self) -> bool {
        matches!(self.phase, Phase::Answering { .. })
    }

    /// Time from which its response counts as stalled; `None` without a response.
    fn stalled_at(&self, limits: &ConnectionLimits) -> Option<Duration> {
        match self.phase {
            Phase::Answering { progress, .. } => Some(progress + limits.stalled_reader),
            Phase::Waiting | Phase::Receiving { .. } => None,
        }
    }
}
