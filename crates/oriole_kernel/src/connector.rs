//! Connections of pooled HTTP clients.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::bounded_stream::BoundedStream;
use crate::sockets::TcpTimeouts;

/// Connects a client to one address. A connection ends when its peer is unresponsive or sends too much.
#[derive(Clone, Debug)]
pub struct BoundedConnector {
    /// Address that all connections go to, whatever the request's URI names.
    pub address: SocketAddr,
    /// Timeouts of the connections.
    pub timeouts: TcpTimeouts,
    /// Most bytes that the peer may send in answer to one request.
    pub max_answer_bytes: usize,
}

impl Service<Uri> for BoundedConnector {
    type Response = TokioIo<BoundedStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let Self {
            address,
            timeouts,
            max_answer_bytes,
        } = self.clone();
        Box::pin(async move {
            let stream = timeouts.connect(address).await?;
            Ok(TokioIo::new(BoundedStream::new(stream, max_answer_bytes)))
        })
    }
}

impl Connection for BoundedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
