//! Reports to the memory budget when bytes are received from a caller or taken by it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use oriole_kernel::bounded_stream::BoundedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::connection::CallerConnection;

/// Time for which the rest of a refused body is read and dropped before the connection is closed. If it
/// were closed at once, the caller's next bytes would reset it, and the caller would lose the refusal
/// that it has not read yet. A round trip takes some milliseconds.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Bytes that are dropped at once.
const DRAIN_BYTES: usize = 4096;

/// The stream of a caller's connection.
pub struct TrackedStream {
    stream: BoundedStream,
    connection: Arc<CallerConnection>,
    /// End of the time for which a refused body is dropped.
    drain: Option<Pin<Box<Sleep>>>,
}

impl TrackedStream {
    /// Tracks the stream of `connection`.
    #[must_use]
    pub fn new(stream: BoundedStream, connection: Arc<CallerConnection>) -> Self {
        Self {
            stream,
            connection,
            drain: None,
        }
    }

    /// Reads and drops what the caller still sends, until it closes or the time is up.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let drain = self
            .drain
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(DRAIN_TIME)));
        if drain.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DRAIN_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn after_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(len)) if len > 0) {
            self.connection.on_taken();
        }
        written
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
            self.connection.on_received();
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
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library calls this only when it has nothing left to write.
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.connection.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.drain.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.is_body_refused() {
            ready!(self.poll_drain(cx));
        }
        Poll::Ready(Ok(()))
    }
}
