//! What the head of an HTTP/1.1 answer must be like to end a request.
//!
//! HTTP libraries hand on heads that do not: switches of protocol that no request asked for, other
//! versions, statuses without a class, and bodies in codings that nobody decodes.

use http::{HeaderMap, Response, Version, header};

/// Why a head does not end a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.as_str())]
pub enum InvalidHead {
    /// The version is not HTTP/1.1.
    Version,
    /// The status is informational, which includes a switch of protocols, or has no class.
    Status,
    /// The body has a transfer coding other than chunks.
    TransferCoding,
    /// The body is encoded, although no request of ours asks for an encoding.
    ContentCoding,
}

impl InvalidHead {
    /// The reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Version => "answer of another protocol version",
            Self::Status => "status that is no answer",
            Self::TransferCoding => "unknown transfer coding",
            Self::ContentCoding => "encoded body",
        }
    }
}

/// Checks that a head can end a request.
///
/// # Errors
///
/// Returns the first reason why it cannot.
pub fn check_head<B>(response: &Response<B>) -> Result<(), InvalidHead> {
    if response.version() != Version::HTTP_11 {
        return Err(InvalidHead::Version);
    }
    if !(200..600).contains(&response.status().as_u16()) {
        return Err(InvalidHead::Status);
    }
    if has_unknown_coding(response.headers()) {
        return Err(InvalidHead::TransferCoding);
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return Err(InvalidHead::ContentCoding);
    }
    Ok(())
}

/// Whether the body has a transfer coding other than chunks, or several headers with one.
fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = codings.next();
    codings.next().is_some()
        || first.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}
