//! Fleet-wide limits on request rates and requests in flight, per account and per catalog entry.
//!
//! A limit applies to all entries together, and each entry enforces a share of it. A small part of
//! the limit is divided evenly; the rest is divided by the demand that the entries report to each
//! other in digests. The shares add up to the limit as long as all entries know the same demand. If
//! an entry is one digest behind, the limit can be exceeded by at most the change in demand since.
//!
//! - [`limiter`]: admission of requests by their limits.
//! - [`bucket`]: the token bucket behind a rate limit.
//! - [`share`]: the share of a limit that one entry enforces, and the digests.

pub mod bucket;
pub mod limiter;
pub mod share;

pub use limiter::{LimitRefusal, Limiter, LimiterConfig, Permit};
pub use share::{LimitDigest, Usage};
