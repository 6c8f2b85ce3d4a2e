//! TCP streams that end when the peer sends too much without being answered.
//!
//! HTTP parsers bound a head and the decoded bytes of a body, but not what lies between: the digits of a
//! chunk's size, heads of interim answers or trailers may come without end, as fast as the link allows.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes on the wire that one useful byte may take: framing adds to a body in small chunks.
pub const FRAMING_FACTOR: usize = 2;

/// Number of bytes that a peer may still send. Clones share it.
#[derive(Clone, Debug)]
pub struct ReadAllowance {
    max: usize,
    left: Arc<AtomicUsize>,
}

impl ReadAllowance {
    fn new(max: usize) -> Self {
        Self {
            max,
            left: Arc::new(AtomicUsize::new(max)),
        }
    }

    /// Grants the whole allowance again.
    fn renew(&self) {
        self.left.store(self.max, Ordering::Relaxed);
    }

    /// Grants bytes for some that were of use: [`FRAMING_FACTOR`] for each.
    pub fn earn(&self, useful_bytes: usize) {
        let granted = useful_bytes.saturating_mul(FRAMING_FACTOR);
        let left = self.left.load(Ordering::Relaxed).saturating_add(granted);
        self.left.store(left.min(self.max), Ordering::Relaxed);
    }

    /// Takes received bytes off; returns whether they were within the allowance.
    fn spend(&self, len: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        self.left.store(left.saturating_sub(len), Ordering::Relaxed);
        len <= left
    }
}

/// A TCP stream that fails once it has received more than an allowance of bytes. Each write renews the
/// allowance, since an exchange begins with a request and ends with a response.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedStream {
    /// Bounds the bytes received between two writes.
    #[must_use]
    pub fn new(stream: TcpStream, max_bytes: usize) -> Self {
        Self {
            stream,
            allowance: ReadAllowance::new(max_bytes),
        }
    }

    /// The stream's allowance, to extend it while a long answer is received.
    #[must_use]
    pub fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.allowance.spend(buf.filled().len() - len_before) {
            return polled;
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer sends too many bytes",
        )))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.allowance.renew();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.allowance.renew();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
