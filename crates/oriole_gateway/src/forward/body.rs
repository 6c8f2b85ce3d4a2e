//! Bodies of requests to upstreams and of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body, Frame, SizeHint};
use oriole_memory::prelude::Blocks;

use crate::memory::connection::CallerConnection;

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

/// A body that was received whole, sent block by block.
#[derive(Debug)]
pub struct BlockBody {
    blocks: std::vec::IntoIter<Bytes>,
    remaining: usize,
}

impl BlockBody {
    /// A body of these blocks.
    #[must_use]
    pub fn new(blocks: Blocks) -> Self {
        Self {
            remaining: blocks.len(),
            blocks: blocks.into_iter(),
        }
    }
}

impl Body for BlockBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.next();
        self.remaining -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}

/// Body of a response, which tells its connection when the HTTP library has it to its end.
pub struct AnswerBody {
    body: ResponseBody,
    connection: Arc<CallerConnection>,
}

impl AnswerBody {
    /// The body of a response on `connection`.
    #[must_use]
    pub fn new(body: ResponseBody, connection: Arc<CallerConnection>) -> Self {
        Self { body, connection }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = ResponseInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseInterrupted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.connection.on_answer_done();
    }
}
