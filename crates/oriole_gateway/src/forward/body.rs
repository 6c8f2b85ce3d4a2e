//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// The answer broke off; the caller's connection is closed so that it does not look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct ResponseInterrupted;

/// Body of an answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, ResponseInterrupted>;

/// A body of known bytes.
#[must_use]
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}
