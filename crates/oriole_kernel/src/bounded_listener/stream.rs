//! A stream, and response bodies, that report what happens on a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::tracker::Tracker;
use crate::bounded_stream::BoundedStream;

/// A connection as the HTTP library sees it.
pub(super) struct TrackedStream {
    stream: BoundedStream,
    tracker: Arc<Tracker>,
    /// Whether the HTTP library has taken the whole response.
    response_taken: Arc<AtomicBool>,
}

impl TrackedStream {
    pub fn new(
        stream: BoundedStream,
        tracker: Arc<Tracker>,
        response_taken: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            tracker,
            response_taken,
        }
    }

    fn on_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.tracker.progress();
        }
        polled
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > len_before {
            self.tracker.received();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.on_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the stream when it has written all that it buffers.
        if self.response_taken.swap(false, Ordering::Relaxed) {
            self.tracker.response_sent();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A response body that says when the HTTP library has taken it.
pub(super) struct TrackedBody {
    body: Full<Bytes>,
    response_taken: Arc<AtomicBool>,
}

impl TrackedBody {
    pub fn new(body: Full<Bytes>, response_taken: Arc<AtomicBool>) -> Self {
        Self {
            body,
            response_taken,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.response_taken.store(true, Ordering::Relaxed);
    }
}
