//! Reasons to refuse or fail a request, and the status and `Retry-After` that the caller receives.

use std::time::Duration;

use http::StatusCode;

/// Usual time until a group that lost a rank is formed anew, or a restarted upstream is back.
pub const GROUP_RECOVERY_TIME: Duration = Duration::from_millis(1500);

/// Why a request ended without a response from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request has no attempt id or is not valid HTTP.
    Malformed,
    /// The head or the body exceeds its limit.
    TooLarge,
    /// No route matches.
    NoRoute,
    /// The key belongs to no account.
    UnknownKey,
    /// No configuration has been received yet.
    NotReady,
    /// The process is shutting down.
    Leaving,
    /// No upstream of the service takes new requests.
    NoUpstream,
    /// No group of the service runs.
    GroupDown,
    /// No upstream has a free slot or can start the request in time.
    Busy,
    /// Upstreams refused the request and no further attempt is allowed.
    Rejected,
    /// The retry budget was spent before the request ran.
    BudgetSpent,
    /// The limits that its upstreams announce leave no room for it.
    UpstreamLimit,
    /// All its upstreams leave or want no requests for a while.
    UpstreamPaused,
    /// A part of its prompt is suspected of crashing upstreams.
    SuspectPart,
    /// It is suspected of crashing upstreams as a whole.
    SuspectRequest,
    /// The limit on streams of its service leaves no room for its priority.
    Pace,
    /// The group of its service stands still.
    Standstill,
    /// The caller did not send its body in time.
    BodyTimeout,
    /// The time limit passed before the request ran.
    ExpiredUnrun,
    /// The time limit passed after the request may have run.
    Expired,
    /// The request may have run, and no valid response was received.
    UpstreamFailed,
}

impl Refusal {
    /// Status of the response. A status that promises that the request has not run is only used
    /// where that is certain.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::Leaving
            | Self::NoUpstream
            | Self::GroupDown
            | Self::Busy
            | Self::Rejected
            | Self::BudgetSpent
            | Self::UpstreamLimit
            | Self::UpstreamPaused
            | Self::SuspectPart
            | Self::SuspectRequest
            | Self::Pace
            | Self::Standstill
            | Self::ExpiredUnrun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Expired => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Default `Retry-After`, used unless the load gives a better estimate; `None` if a retry makes
    /// no sense or is not known to be safe.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Leaving => Some(Duration::ZERO),
            Self::NotReady => Some(Duration::from_millis(300)),
            Self::NoUpstream
            | Self::GroupDown
            | Self::Rejected
            | Self::BudgetSpent
            | Self::UpstreamPaused
            | Self::Pace
            | Self::Standstill => Some(GROUP_RECOVERY_TIME),
            Self::Busy => Some(Duration::from_millis(200)),
            _ => None,
        }
    }

    /// Name in metrics, logs and response bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NotReady => "not_ready",
            Self::Leaving => "leaving",
            Self::NoUpstream => "no_upstream",
            Self::GroupDown => "group_down",
            Self::Busy => "busy",
            Self::Rejected => "rejected",
            Self::BudgetSpent => "budget_spent",
            Self::UpstreamLimit => "upstream_limit",
            Self::UpstreamPaused => "upstream_paused",
            Self::SuspectPart => "suspect_part",
            Self::SuspectRequest => "suspect_request",
            Self::Pace => "pace",
            Self::Standstill => "standstill",
            Self::BodyTimeout => "body_timeout",
            Self::ExpiredUnrun => "expired_unrun",
            Self::Expired => "expired",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}
