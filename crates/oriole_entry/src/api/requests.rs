//! Requests of callers: reads the body, and sends the answer whole or as a stream.

use bytes::{Bytes, BytesMut};
use dropshot::{Body, HttpError, Path, RequestContext, StreamingBody, endpoint};
use futures::{StreamExt, pin_mut};
use http::{HeaderValue, Response, header};
use oriole_memory::prelude::{BlockBuffer, Blocks};
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
use crate::memory::HeldRequest;

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
    let memory = match head.hold_memory() {
        Ok(memory) => memory,
        Err(refusal) => return Ok(state.refusal_response(request, &refusal)),
    };
    let length = headers::content_length(req_headers);
    let max_bytes = head.max_body_bytes();
    let body = tokio::select! {
        read = read_body(body, length, max_bytes, &memory) => read,
        refusal = memory.cut_off() => Err(refusal),
    };
    let body = match body {
        Ok(body) => body,
        Err(refusal) => return Ok(state.refusal_response(request, &refusal)),
    };
    let accepted = match head.accept(body, memory) {
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

/// Reads a body into memory that is charged before it is allocated.
async fn read_body(
    body: StreamingBody,
    length: Option<u64>,
    max: usize,
    memory: &HeldRequest,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        let message = format!("the body is larger than {max} bytes");
        Refusal::new(RefusalReason::BodyTooLarge, message)
    };
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut buf = BlockBuffer::with_length(length);
    let mut charged = 0;
    loop {
        let part = tokio::time::timeout(BODY_IDLE_TIMEOUT, stream.next())
            .await
            .map_err(|_| {
                metrics::counter!("oriole_slow_senders_total").increment(1);
                Refusal::new(RefusalReason::RequestInvalid, "the body came too slowly")
            })?;
        let Some(part) = part else {
            return join_blocks(buf.freeze(), charged, memory).await;
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
        memory.on_received();
        let missing = buf.missing_capacity(part.len());
        if missing > 0 {
            memory.charge(missing).await?;
            charged += missing;
        }
        // Copied, since the part keeps a whole read buffer of the HTTP library alive.
        buf.extend(&part);
    }
}

/// Joins a body, for whose blocks `charged` bytes were charged.
async fn join_blocks(
    blocks: Blocks,
    charged: usize,
    memory: &HeldRequest,
) -> Result<Bytes, Refusal> {
    let mut parts = blocks.iter();
    let (Some(first), None) = (parts.next(), parts.next()) else {
        memory.charge(blocks.len()).await?;
        let mut joined = BytesMut::with_capacity(blocks.len());
        for block in blocks {
            joined.extend_from_slice(&block);
        }
        memory.release(charged);
        return Ok(joined.freeze());
    };
    Ok(first.clone())
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
