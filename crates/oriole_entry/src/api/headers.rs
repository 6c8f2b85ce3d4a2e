//! Headers of requests and responses.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use oriole_types::digest::Digest;
use oriole_types::ids::{IdempotencyKey, RequestId};
use oriole_types::outcome::{Outcome, RefusalReason};

use super::errors::{outcome_name, request_id_text};
use crate::answer::Refusal;

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header with the caller's timeout in milliseconds.
pub const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("request-timeout-ms");

/// Header with the number of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");

/// Header with the outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("outcome");

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// The digest of the account key in the `Authorization` header; `None` if there is none.
#[must_use]
pub fn account_key(headers: &HeaderMap) -> Option<Digest> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(Digest::of(key.trim().as_bytes()))
}

/// The caller's idempotency key; `None` if it sent none.
///
/// # Errors
///
/// Fails if it is empty, too long or not printable ASCII.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Refusal::new(
            RefusalReason::RequestInvalid,
            format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} printable ASCII characters"),
        ));
    }
    Ok(Some(text.into()))
}

/// The caller's timeout in milliseconds, at most `max`; `default` if the caller sent none.
///
/// # Errors
///
/// Fails if it is not a whole number above 0.
pub fn timeout_ms(headers: &HeaderMap, default: u32, max: u32) -> Result<u32, Refusal> {
    let Some(value) = headers.get(REQUEST_TIMEOUT_MS) else {
        return Ok(default.min(max));
    };
    let parsed: Option<u32> = value.to_str().ok().and_then(|t| t.parse().ok());
    match parsed {
        Some(ms) if ms > 0 => Ok(ms.min(max)),
        _ => Err(Refusal::new(
            RefusalReason::RequestInvalid,
            "Request-Timeout-Ms must be a whole number of milliseconds above 0",
        )),
    }
}

/// Length of the body that the caller announced; `None` if it sent none.
#[must_use]
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Whether the caller accepts a streamed answer.
#[must_use]
pub fn wants_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::ACCEPT)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.contains("text/event-stream"))
}

/// Sets the content type of a JSON response, and the headers with the request's number and outcome.
pub fn set_outcome(headers: &mut HeaderMap, request: RequestId, outcome: Outcome) {
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(OUTCOME, HeaderValue::from_static(outcome_name(outcome)));
    if let Ok(value) = HeaderValue::from_str(&request_id_text(request)) {
        headers.insert(REQUEST_ID, value);
    }
}
