//! HTTP protocol of the store: paths, headers and statuses.
//!
//! | call | request | answers |
//! |---|---|---|
//! | read | `GET /kv/KEY` | 200 with [`VERSION_HEADER`], 404 |
//! | watch | `GET /kv/KEY?after=N&wait_ms=N` | 200 with [`VERSION_HEADER`], 204 unchanged |
//! | write | `PUT /kv/KEY` with [`EXPECT_HEADER`], [`LEASE_HEADER`] | 200 with [`VERSION_HEADER`], 409, 410, 413 |
//! | delete | `DELETE /kv/KEY` with [`EXPECT_HEADER`] | 200, 409 |
//! | grant | `POST /leases?ttl_ms=N` | 200 with [`LEASE_HEADER`] |
//! | renew | `PUT /leases/N` | 200, 410 |
//!
//! Any call may be answered with 429 (rate limit exceeded) or 503 (store unavailable); nothing was
//! written then. Keys are percent-encoded.

use std::fmt;
use std::str::FromStr;

use crate::store::{Precondition, StoreVersion};

/// Path prefix of values; the key follows.
pub const KV_PREFIX: &str = "/kv/";
/// Path of leases.
pub const LEASES_PATH: &str = "/leases";
/// Header with the version of a value.
pub const VERSION_HEADER: &str = "store-version";
/// Header with the [`Precondition`] of a write: `absent`, `any` or a version.
pub const EXPECT_HEADER: &str = "store-expect";
/// Header with the number of a lease.
pub const LEASE_HEADER: &str = "store-lease";
/// Query parameter of a watch: the version that the caller has seen.
pub const AFTER_PARAM: &str = "after";
/// Query parameter of a watch: maximum wait, in milliseconds.
pub const WAIT_MS_PARAM: &str = "wait_ms";
/// Query parameter of a new lease: its duration, in milliseconds.
pub const TTL_MS_PARAM: &str = "ttl_ms";

/// The text is not a [`Precondition`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected absent, any or a version")]
pub struct ParsePreconditionError;

impl fmt::Display for Precondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("absent"),
            Self::Version(v) => write!(f, "{v}"),
            Self::Any => f.write_str("any"),
        }
    }
}

impl FromStr for Precondition {
    type Err = ParsePreconditionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "absent" => Ok(Self::Absent),
            "any" => Ok(Self::Any),
            number => number
                .parse()
                .map(|v| Self::Version(StoreVersion(v)))
                .map_err(|_| ParsePreconditionError),
        }
    }
}
