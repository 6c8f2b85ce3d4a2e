//! Error responses for callers.

use dropshot::Body;
use http::{HeaderValue, Response, StatusCode, header};
use oriole_types::ids::RequestId;
use oriole_types::outcome::{Outcome, RefusalReason, UnknownReason};
use serde::Serialize;

use crate::answer::{Refusal, unknown_message};

/// Body of every error response.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct ErrorBody {
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// Reason code.
    pub reason: String,
    /// Time after which a retry may succeed, in milliseconds; 0 if it is not known.
    pub retry_after_ms: u32,
    /// Number of the request, for questions to operators.
    pub request_id: String,
    /// Description of what happened.
    pub message: String,
}

impl ErrorBody {
    /// Creates the body for a refusal.
    #[must_use]
    pub fn not_run(request: RequestId, refusal: &Refusal) -> Self {
        Self {
            outcome: outcome_name(Outcome::NotRun).into(),
            reason: refusal.reason.to_string(),
            retry_after_ms: refusal.retry_after_ms,
            request_id: request_id_text(request),
            message: refusal.message.clone(),
        }
    }

    /// Creates the body for an unknown outcome.
    #[must_use]
    pub fn unknown(request: RequestId, reason: UnknownReason) -> Self {
        Self {
            outcome: outcome_name(Outcome::Unknown).into(),
            reason: reason.to_string(),
            retry_after_ms: 0,
            request_id: request_id_text(request),
            message: unknown_message(reason).into(),
        }
    }
}

/// The name of an outcome in headers and bodies.
#[must_use]
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "complete",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

/// The number of a request as it appears in headers, bodies and logs.
#[must_use]
pub fn request_id_text(request: RequestId) -> String {
    format!("{:016x}", request.0)
}

/// Creates the response for a refusal.
pub fn refusal_response(request: RequestId, refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(
        status_of_refusal(refusal.reason),
        request,
        Outcome::NotRun,
        &ErrorBody::not_run(request, refusal),
    );
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1000);
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Creates the response for an unknown outcome.
pub fn unknown_response(request: RequestId, reason: UnknownReason) -> Response<Body> {
    let status = match reason {
        UnknownReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let body = ErrorBody::unknown(request, reason);
    json_response(status, request, Outcome::Unknown, &body)
}

fn json_response(
    status: StatusCode,
    request: RequestId,
    outcome: Outcome,
    body: &ErrorBody,
) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    super::headers::set_outcome(response.headers_mut(), request, outcome);
    response
}

/// The HTTP status of a refusal.
#[must_use]
pub fn status_of_refusal(reason: RefusalReason) -> StatusCode {
    use RefusalReason as R;
    match reason {
        R::AccountUnknown => StatusCode::UNAUTHORIZED,
        R::EntryUnknown => StatusCode::NOT_FOUND,
        R::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        R::RequestInvalid | R::KeyRequired => StatusCode::BAD_REQUEST,
        R::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        R::KeyExpired | R::KeyInProgress => StatusCode::CONFLICT,
        R::AccountLimit | R::EntryLimit => StatusCode::TOO_MANY_REQUESTS,
        R::Blocked | R::Quarantined => StatusCode::FORBIDDEN,
        R::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
