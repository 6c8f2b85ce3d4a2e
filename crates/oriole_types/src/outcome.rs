//! The outcome of a request, and the reasons for those outcomes that are not an answer.

use std::fmt;

value_type! {
    /// Outcome of a request, as reported to its caller.
    pub enum Outcome {
        /// The whole answer was delivered.
        Complete,
        /// The request did not run, and this attempt will not run later; it is safe to resend.
        NotRun,
        /// The request may have run, so oriole does not resend it.
        Unknown,
    }
}

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $code:literal, $text:literal;)* }) => {
        value_type! {
            $(#[$meta])*
            pub enum $name { $($(#[$doc])* $variant,)* }
        }

        impl $name {
            /// All reasons, in order of their codes.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Code of the reason in frames.
            #[must_use]
            pub fn code(self) -> u32 {
                match self { $(Self::$variant => $code,)* }
            }

            /// The reason with a code; `None` if the code is unknown.
            #[must_use]
            pub fn from_code(code: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|r| r.code() == code)
            }

            /// The name of the reason in errors, metrics and logs.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why a request was refused before it ran.
    RefusalReason {
        /// The account's API key is missing or unknown.
        AccountUnknown = 1, "account_unknown";
        /// No such catalog entry.
        EntryUnknown = 2, "entry_unknown";
        /// The body is larger than the entry allows.
        BodyTooLarge = 3, "body_too_large";
        /// The body is not valid JSON, or a header is malformed.
        RequestInvalid = 4, "request_invalid";
        /// The entry is not idempotent and the request has no idempotency key.
        KeyRequired = 5, "key_required";
        /// The idempotency key was used before with another body.
        KeyReused = 6, "key_reused";
        /// The idempotency key is older than the retention horizon.
        KeyExpired = 7, "key_expired";
        /// The account has exceeded its limit.
        AccountLimit = 8, "account_limit";
        /// The entry has exceeded its limit.
        EntryLimit = 9, "entry_limit";
        /// An operator blocked the account, entry or key.
        Blocked = 10, "blocked";
        /// The queue is full.
        QueueFull = 11, "queue_full";
        /// The deadline has passed or cannot be met.
        Deadline = 12, "deadline";
        /// No upstream of the pool is in service.
        NoUpstream = 13, "no_upstream";
        /// Every upstream of the pool is at its limit.
        NoCapacity = 14, "no_capacity";
        /// The upstream is in cold start and at its lower limit.
        UpstreamCold = 15, "upstream_cold";
        /// The upstream is at its limit.
        UpstreamFull = 16, "upstream_full";
        /// The upstream, its VM or its failure domain takes no new work.
        Draining = 17, "draining";
        /// The content crashed upstreams and is quarantined.
        Quarantined = 18, "quarantined";
        /// The content is suspected of crashing upstreams, and another suspect is running.
        SuspectBusy = 19, "suspect_busy";
        /// The entry daemon is shutting down.
        EntryLeaving = 20, "entry_leaving";
        /// The process has no configuration yet, or its configuration is too old to use.
        NoConfiguration = 21, "no_configuration";
        /// The claim cannot be stored because the store is unavailable.
        StoreUnavailable = 22, "store_unavailable";
        /// The agent is not responsible for (not the home of) the key's claim partition.
        NotHome = 23, "not_home";
        /// The agent could not reach its upstream, and sent nothing.
        UpstreamUnreachable = 24, "upstream_unreachable";
        /// The agent could not be reached, and the request was not sent.
        AgentUnreachable = 25, "agent_unreachable";
        /// The retry budget is exhausted.
        RetryBudget = 26, "retry_budget";
        /// The request was cancelled before it ran.
        Cancelled = 27, "cancelled";
        /// The agent has just started and does not yet have the information it needs to run work.
        AgentStarting = 28, "agent_starting";
        /// A request with the same key is running; retry later to get its answer.
        KeyInProgress = 29, "key_in_progress";
        /// The upstream gets as many requests per second as it announced that it takes.
        UpstreamLimit = 30, "upstream_limit";
        /// The process has too little memory for the request.
        Memory = 31, "memory";
    }
}

reasons! {
    /// Why it is not known whether a request ran.
    UnknownReason {
        /// The upstream failed while running the request.
        UpstreamFailed = 1, "upstream_failed";
        /// The connection to the agent was lost after the request was sent.
        AgentLost = 2, "agent_lost";
        /// The deadline passed while the request was running.
        Deadline = 3, "deadline";
        /// The process that ran the first request with this key is no longer running.
        HomeLost = 4, "home_lost";
        /// The claim is stored, but the answer of its first run is not known.
        AnswerLost = 5, "answer_lost";
        /// The answer arrived incomplete.
        Incomplete = 6, "incomplete";
    }
}
