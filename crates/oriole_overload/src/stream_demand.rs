//! Requests for streams, the state in which they are decided on, and the decisions.

use std::time::Duration;

/// Share of its latency objective by which a request must start. The rest is for its first event.
pub const START_SHARE: f64 = 0.5;

/// A request for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamDemand {
    /// Number that is unique in the daemon.
    pub id: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Hash of the client account.
    pub account: u64,
    /// Tokens of the prompt; one if they are not known.
    pub tokens: u64,
    /// Target for the time to the first event.
    pub objective: Duration,
    /// Time of arrival.
    pub received_at: Duration,
}

impl StreamDemand {
    /// Latest time at which it may start and still meet its objective.
    #[must_use]
    pub fn start_by(&self) -> Duration {
        self.received_at + self.objective.mul_f64(START_SHARE)
    }
}

/// A standstill of all groups that a request could use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Time since the last event.
    pub lasted: Duration,
}

/// State of the service at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Streams that run.
    pub running: f64,
    /// The limit on them; `None` if it is not known, and then nothing is limited.
    pub limit: Option<f64>,
    /// Streams that the upstreams can run.
    pub slots: u32,
    /// Whether the service stands still.
    pub standstill: Option<Standstill>,
    /// Mean age of what is known of the other daemons' streams.
    pub view_age: Duration,
    /// Daemons that may be sending requests.
    pub daemons: usize,
    /// A random number in `0.0..1.0`.
    pub point: f64,
}

/// Why a request waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HoldReason {
    /// The limit on streams leaves no room for its class.
    Pace,
    /// The group stands still.
    Standstill,
}

impl HoldReason {
    /// Name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pace => "pace",
            Self::Standstill => "standstill",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It starts now.
    Admit {
        /// Whether it is sent to a group that stands still, to find out whether it goes on.
        is_probe: bool,
    },
    /// It waits; [`StreamAdmission::poll`](crate::stream_admission::StreamAdmission::poll) tells when it starts.
    Wait {
        /// Why it waits.
        reason: HoldReason,
        /// Requests that start before it.
        position: usize,
    },
    /// It is refused.
    Refuse {
        /// Why it is refused.
        reason: HoldReason,
        /// Time after which the caller should try again.
        retry_after: Duration,
    },
}
