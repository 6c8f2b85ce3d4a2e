//! A streamed answer as server-sent events.
//!
//! Each token is an event with its position as id. The last event is `end` for a complete answer
//! and `error` for any other outcome; without either, the connection broke off.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{BufMut, Bytes, BytesMut};
use hyper::body::{Body, Frame};
use oriole_types::ids::RequestId;
use oriole_types::outcome::UnknownReason;
use tokio::sync::mpsc;

use super::errors::ErrorBody;
use crate::answer::AnswerEvent;

/// Body of a streamed answer.
pub(crate) struct EventBody {
    request: RequestId,
    /// Event to send before those of `rx`.
    first: Option<AnswerEvent>,
    rx: mpsc::Receiver<AnswerEvent>,
    /// Whether the final event was sent.
    ended: bool,
}

impl EventBody {
    /// Creates a body that starts with `first`, which was already received from `rx`.
    pub(crate) fn new(
        request: RequestId,
        first: AnswerEvent,
        rx: mpsc::Receiver<AnswerEvent>,
    ) -> Self {
        Self {
            request,
            first: Some(first),
            rx,
            ended: false,
        }
    }

    fn render(&mut self, event: AnswerEvent) -> Bytes {
        self.ended = event.outcome().is_some();
        match event {
            AnswerEvent::Items { position, data, .. } => render_items(position, &data),
            AnswerEvent::Complete { position, replayed } => {
                let end = serde_json::json!({
                    "outcome": "complete", "tokens": position, "replayed": replayed,
                });
                render_end("end", &end.to_string())
            }
            AnswerEvent::NotRun(refusal) => {
                self.render_error(&ErrorBody::not_run(self.request, &refusal))
            }
            AnswerEvent::Unknown { reason } => {
                self.render_error(&ErrorBody::unknown(self.request, reason))
            }
        }
    }

    fn render_error(&self, body: &ErrorBody) -> Bytes {
        render_end("error", &serde_json::to_string(body).unwrap_or_default())
    }
}

fn render_items(position: u64, data: &[u8]) -> Bytes {
    let mut buf = BytesMut::with_capacity(data.len() * 2);
    let lines = data.split(|b| *b == b'\n').filter(|l| !l.is_empty());
    for (i, line) in (position..).zip(lines) {
        buf.put_slice(format!("id: {i}\ndata: ").as_bytes());
        buf.put_slice(line);
        buf.put_slice(b"\n\n");
    }
    buf.freeze()
}

fn render_end(event: &str, data: &str) -> Bytes {
    format!("event: {event}\ndata: {data}\n\n").into()
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = match self.first.take() {
            Some(first) => Some(first),
            None => std::task::ready!(self.rx.poll_recv(cx)),
        };
        let event = next.unwrap_or(AnswerEvent::Unknown {
            reason: UnknownReason::Incomplete,
        });
        let data = self.render(event);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}
