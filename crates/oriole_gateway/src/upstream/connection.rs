//! A connection to an upstream.

use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use oriole_kernel::bounded_stream::{BoundedStream, ReadAllowance};
use oriole_kernel::sockets::{self, TcpTimeouts};
use tokio::task::JoinHandle;

use crate::forward::body::BlockBody;

/// Largest head of a response, in bytes. Also the largest part of a body that is read at once.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Most bytes that an upstream may send that are no part of a body or event, with room for the largest
/// event before it is whole and for what is read ahead.
const MAX_USELESS_BYTES: usize = 8 * MAX_HEAD_BYTES;

/// Why no response head was received.
#[derive(Debug)]
pub enum SendError {
    /// No part of the request was written, so it has not run.
    NotSent {
        /// Why it was not sent.
        reason: String,
        /// Whether the only cause is that a pooled connection had been closed, which says nothing
        /// about the upstream's health.
        is_stale_connection: bool,
    },
    /// The request was written at least in part, so it may have run, and the connection broke. Holds
    /// the reason.
    NoResponse(String),
    /// No response arrived in time.
    TimedOut,
}

/// Called when an upstream sends bytes while no request waits for an answer.
pub type StrayBytesHandler = Arc<dyn Fn() + Send + Sync>;

/// Whether a connection failed because bytes arrived that belong to no request. The HTTP library tells
/// these only by exclusion: they have no other cause, and the connection neither ended nor was closed
/// here.
fn is_stray_bytes(e: &hyper::Error) -> bool {
    let ended = e.is_incomplete_message() || e.is_canceled() || e.is_closed();
    e.is_parse() || (e.source().is_none() && !ended)
}

/// A connection that carries one request at a time. Dropping it resets the TCP connection, so that
/// the upstream learns that the request was abandoned.
pub struct Connection {
    sender: SendRequest<BlockBody>,
    task: JoinHandle<()>,
    allowance: ReadAllowance,
    on_stray_bytes: StrayBytesHandler,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    /// Time for which the upstream keeps it open when idle, if it states one.
    pub keep_alive: Option<Duration>,
}

impl Connection {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection cannot be established.
    pub async fn open(
        address: SocketAddr,
        on_stray_bytes: StrayBytesHandler,
    ) -> Result<Self, SendError> {
        let not_sent = |step: &str, e: &dyn std::fmt::Display| SendError::NotSent {
            reason: format!("{step}: {e}"),
            is_stale_connection: false,
        };
        let stream = TcpTimeouts::default()
            .connect(address)
            .await
            .map_err(|e| not_sent("connect", &e))?;
        sockets::reset_on_close(&stream).map_err(|e| not_sent("reset on close", &e))?;
        let stream = BoundedStream::new(stream, MAX_USELESS_BYTES);
        let allowance = stream.allowance();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent("handshake", &e))?;
        let handler = on_stray_bytes.clone();
        let task = tokio::spawn(async move {
            // A pending request receives the error itself.
            if let Err(e) = connection.await
                && is_stray_bytes(&e)
            {
                handler();
            }
        });
        Ok(Self {
            sender,
            task,
            allowance,
            on_stray_bytes,
            is_reused: false,
            keep_alive: None,
        })
    }

    /// Whether it can carry another request.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Bytes that the upstream may still send.
    pub fn allowance(&self) -> &ReadAllowance {
        &self.allowance
    }

    /// Waits until the last response is read in full and the connection can be reused; returns
    /// whether it can.
    pub async fn wait_until_free(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns whether any part of the request was written.
    pub async fn send(&mut self, req: Request<BlockBody>) -> Result<Response<Incoming>, SendError> {
        let is_stale_connection = self.is_reused;
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let reason = e.error().to_string();
            if e.take_message().is_none() {
                return SendError::NoResponse(reason);
            }
            let cause = e.error().source().and_then(|e| e.downcast_ref());
            if is_stale_connection && cause.is_some_and(is_stray_bytes) {
                (self.on_stray_bytes)();
            }
            SendError::NotSent {
                reason,
                is_stale_connection,
            }
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
