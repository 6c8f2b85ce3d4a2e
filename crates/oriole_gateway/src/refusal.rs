//! Why a request is refused or fails, and what the caller is told.

use std::time::Duration;

use http::StatusCode;

/// Time in which a group that lost a rank is usually formed anew, or a restarted upstream is back.
pub const GROUP_RECOVERY_TIME: Duration = Duration::from_millis(1500);

/// An end of a request that is not an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request lacks its attempt id or is not proper.
    Malformed,
    /// The head or the body is larger than allowed.
    TooLarge,
    /// No route matches.
    NoRoute,
    /// The key belongs to no account.
    UnknownKey,
    /// No configuration is known yet.
    NotReady,
    /// The process is leaving.
    Leaving,
    /// No upstream of the service takes work.
    NoUpstream,
    /// No group of the service runs.
    GroupDown,
    /// Every upstream has as much work as it can finish in time.
    Busy,
    /// Upstreams refused it and no further offer is allowed.
    Rejected,
    /// The retry budget is spent before the request ran.
    BudgetSpent,
    /// The caller's body did not come in time.
    BodyTimeout,
    /// Time ran out before an upstream took it.
    ExpiredUnrun,
    /// Time ran out after it may have run.
    Expired,
    /// It may have run, and no proper answer came.
    UpstreamFailed,
}

impl Refusal {
    /// Status of the answer. Those that promise that the request has not run are only used where
    /// that is known.
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
            | Self::ExpiredUnrun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Expired => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Time after which a new try makes sense, unless the load tells better.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Leaving => Some(Duration::ZERO),
            Self::NotReady => Some(Duration::from_millis(300)),
            Self::NoUpstream | Self::GroupDown | Self::Rejected | Self::BudgetSpent => {
                Some(GROUP_RECOVERY_TIME)
            }
            Self::Busy => Some(Duration::from_millis(200)),
            _ => None,
        }
    }

    /// Name in metrics and logs.
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
            Self::BodyTimeout => "body_timeout",
            Self::ExpiredUnrun => "expired_unrun",
            Self::Expired => "expired",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}
