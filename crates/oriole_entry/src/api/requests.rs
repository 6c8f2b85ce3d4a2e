//! Requests of callers: reads the body, and sends the answer whole or as a stream.

use bytes::{Bytes, BytesMut};
use dropshot::{Body, HttpError, Path, RequestContext, StreamingBody, endpoint};
use futures::{StreamExt, pin_mut};
use http::{HeaderValue, Response, header};
use oriole_types::catalog::PoolKind;
use oriole_types::ids::RequestId;
use oriole_types::outcome::{Outcome, RefusalReason, UnknownReason};
use serde::Deserialize;
use tokio::sync::mpsc;

use super::collected::CollectedAnswer;
use super::events::EventBody;
use super::{Context, errors, headers};
use crate::answer::{AnswerEvent, Refusal};
use crate::intake::CheckedHead;

/// Longest time without new data while a request's body is read.
const BODY_IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Path parameters of a request.
#[derive(Deserialize, schemars::JsonSchema)]
pub struct RequestPath {
    /// Name of the catalog entry.
    pub entry: String,
}

/// Run a request of a catalog entry.
///
/// Each request has exactly one outcome: the complete answer; `not_run`, after which it is safe to
/// resend; or `unknown`, if it may have run. With `Accept: text/event-stream` the answer is
/// streamed, and its last event says whether it is complete.
#[endpoint { method = POST, path = "/v1/entries/{entry}/requests" }]
pub(crate) async fn post_request(
    cx: RequestContext<Context>,
    path: Path<RequestPath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    let state = cx.context();
    let request = state.next_request_id();
    let path = path.into_inner();
    let req_headers = cx.request.headers();
    let head = match CheckedHead::check(state, request, &path.entry, req_headers) {
        Ok(head) => head,
        Err(refusal) => return Ok(state.refusal_response(request, &refusal)),
    };
    let body = match read_body(body, head.max_body_bytes()).await {
        Ok(body) => body,
        Err(refusal) => return Ok(state.refusal_response(request, &refusal)),
    };
    let accepted = match head.accept(body) {
        Ok(accepted) => accepted,
        Err(refusal) => return Ok(state.refusal_response(request, &refusal)),
    };
    let (stream, kind) = (accepted.head.stream, accepted.kind);
    let rx = state.dispatch(accepted);
    Ok(if stream {
        streamed_response(request, rx).await
    } else {
        collected_response(request, kind, rx).await
    })
}

async fn read_body(body: StreamingBody, max: usize) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("the body is larger than {max} bytes");
        Refusal::new(RefusalReason::BodyTooLarge, message)
    };
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut buf = BytesMut::new();
    loop {
        let part = tokio::time::timeout(BODY_IDLE_TIMEOUT, stream.next())
            .await
            .map_err(|_| {
                metrics::counter!("oriole_slow_senders_total").increment(1);
                Refusal::new(RefusalReason::RequestInvalid, "the body came too slowly")
            })?;
        let Some(part) = part else {
            return Ok(buf.freeze());
        };
        let part = part.map_err(|e| {
            if e.external_message.contains("exceeded maximum size") {
                too_large()
            } else {
                Refusal::new(RefusalReason::RequestInvalid, "the body broke off")
            }
        })?;
        if buf.len() + part.len() > max {
            return Err(too_large());
        }
        buf.extend_from_slice(&part);
    }
}

/// Streams the answer. A request that fails before its first item gets an ordinary error response.
async fn streamed_response(
    request: RequestId,
    mut rx: mpsc::Receiver<AnswerEvent>,
) -> Response<Body> {
    let first = rx.recv().await.unwrap_or(incomplete());
    match first {
        AnswerEvent::NotRun(refusal) => errors::refusal_response(request, &refusal),
        AnswerEvent::Unknown { reason } => errors::unknown_response(request, reason),
        first => {
            let body = EventBody::new(request, first, rx);
            let mut response = Response::new(Body::wrap(body));
            let headers = response.headers_mut();
            headers::set_outcome(headers, request, Outcome::Complete);
            // The outcome is not known yet; the last event of the stream states it.
            headers.remove(headers::OUTCOME);
            headers.insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("text/event-stream"),
            );
            response
        }
    }
}

/// Waits for the complete answer and returns it as one document.
async fn collected_response(
    request: RequestId,
    kind: PoolKind,
    mut rx: mpsc::Receiver<AnswerEvent>,
) -> Response<Body> {
    let mut answer = CollectedAnswer::new(kind);
    loop {
        match rx.recv().await.unwrap_or(incomplete()) {
            AnswerEvent::Items { data, .. } => {
                if !answer.add(&data) {
                    return errors::unknown_response(request, UnknownReason::Incomplete);
                }
            }
            AnswerEvent::Complete { .. } => return complete_response(request, answer),
            AnswerEvent::NotRun(refusal) => return errors::refusal_response(request, &refusal),
            AnswerEvent::Unknown { reason } => return errors::unknown_response(request, reason),
        }
    }
}

fn complete_response(request: RequestId, answer: CollectedAnswer) -> Response<Body> {
    let Some(document) = answer.document() else {
        return errors::unknown_response(request, UnknownReason::Incomplete);
    };
    let mut response = Response::new(Body::from(document));
    headers::set_outcome(response.headers_mut(), request, Outcome::Complete);
    response
}

/// The outcome of a request whose task stopped without reporting one.
fn incomplete() -> AnswerEvent {
    AnswerEvent::Unknown {
        reason: UnknownReason::Incomplete,
    }
}
