//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// The response was interrupted. The caller's connection is closed so that the response does not
/// look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct ResponseInterrupted;

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, ResponseInterrupted>;

/// A body whose bytes are all known.
#[must_use]
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|e| match e {}).boxed_unsync()
}
