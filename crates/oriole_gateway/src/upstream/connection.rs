//! One connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use oriole_kernel::sockets::{self, TcpTimeouts};
use tokio::task::JoinHandle;

/// Why a request got no answer's head.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of it was written: it has not run.
    NotSent {
        /// Why.
        reason: String,
        /// Whether only a kept connection had ended, which tells nothing of the upstream.
        is_stale: bool,
    },
    /// It was written, at least in part: it may have run.
    NoAnswer(String),
}

/// A connection that carries one request at a time. Dropping it resets it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Whether it carried a request before.
    pub is_reused: bool,
    /// Time for which the upstream keeps it idle, if it told.
    pub keep_alive: Option<Duration>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`].
    pub async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let not_sent = |step: &str, e: &dyn std::fmt::Display| SendError::NotSent {
            reason: format!("{step}: {e}"),
            is_stale: false,
        };
        let stream = TcpTimeouts::default()
            .connect(address)
            .await
            .map_err(|e| not_sent("connect", &e))?;
        sockets::reset_on_close(&stream).map_err(|e| not_sent("reset on close", &e))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent("handshake", &e))?;
        let task = tokio::spawn(async move {
            // The error reaches the request that waits; an idle connection has none to tell.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task,
            is_reused: false,
            keep_alive: None,
        })
    }

    /// Whether it can carry another request.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    /// Waits until the last answer is read in full and the connection is free again.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether anything of the request was written.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let is_stale = self.is_reused;
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let reason = e.error().to_string();
            match e.take_message() {
                Some(_) => SendError::NotSent { reason, is_stale },
                None => SendError::NoAnswer(reason),
            }
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
