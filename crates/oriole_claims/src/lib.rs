//! At-most-once execution of non-idempotent requests.
#![forbid(unsafe_code)]
