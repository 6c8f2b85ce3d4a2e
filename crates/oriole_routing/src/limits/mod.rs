//! Rates and requests in flight per account and catalog entry, over the whole fleet.
//!
//! A limit holds for all entries together. Each entry enforces a share of it: a small part is
//! fixed, the rest follows the demand that the account's entries tell each other in digests. The
//! shares add up to the limit wherever views agree; where a view lags by one digest, the excess is
//! at most what the demand moved meanwhile.
//!
//! - [`limiter`]: the machine.
//! - [`bucket`]: a token bucket.
//! - [`share`]: an entry's share of a limit.

pub mod bucket;
pub mod limiter;
pub mod share;

pub use limiter::{LimitRefusal, Limiter, LimiterConfig, Permit};
pub use share::{LimitDigest, Usage};
