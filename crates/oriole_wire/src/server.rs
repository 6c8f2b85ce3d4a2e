//! The accepting side of connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use oriole_types::outcome::RefusalReason;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::channel::{OUT_QUEUE_FRAMES, count_closed, count_late, lock, write_frames};
use crate::codec::FrameCodec;
use crate::error::WireError;
use crate::exchange::WINDOW_CHUNKS;
use crate::frame::{Body, Call, CallReply, Credit, Frame, Open, Refused};
use crate::handshake::{self, HANDSHAKE_TIMEOUT, Identity};
use crate::reader::FrameReader;
use crate::reply::Reply;
use crate::secret::FleetSecrets;

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Who sent a frame.
pub type PeerInfo = Identity;

/// What a process does with the frames it accepts.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers a request.
    async fn exchange(&self, peer: &PeerInfo, open: Open, reply: Reply);

    /// Answers a call; the error text goes to the peer.
    async fn call(&self, peer: &PeerInfo, service: &str, payload: Bytes) -> Result<Bytes, String>;
}

/// How a process accepts connections.
#[derive(Clone, Debug)]
pub struct WireServerConfig {
    /// What the process says of itself.
    pub identity: Identity,
    /// The fleet secrets.
    pub secrets: FleetSecrets,
    /// Most exchanges and calls at once on one connection.
    pub max_exchanges: usize,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most connections at once of one incarnation of a peer.
    pub max_peer_connections: usize,
}

impl WireServerConfig {
    /// A configuration with the default limits.
    #[must_use]
    pub fn new(identity: Identity, secrets: FleetSecrets) -> Self {
        Self {
            identity,
            secrets,
            max_exchanges: 8192,
            max_connections: 2048,
            max_peer_connections: 64,
        }
    }
}

/// A listening socket whose connections are served until it is shut down.
pub struct WireServer {
    addr: SocketAddr,
    accepting: CancellationToken,
    connections: CancellationToken,
    exchanges: TaskTracker,
}

struct Acceptor {
    cfg: WireServerConfig,
    handler: Arc<dyn Handler>,
    accepting: CancellationToken,
    connections: CancellationToken,
    exchanges: TaskTracker,
    slots: Arc<Semaphore>,
    peers: Mutex<HashMap<PeerKey, usize>>,
}

/// Name and incarnation of a peer: connections of a process that is gone don't count against the
/// one that took its place.
type PeerKey = (String, u64);

impl Acceptor {
    fn new(cfg: WireServerConfig, handler: Arc<dyn Handler>) -> Arc<Self> {
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(cfg.max_connections)),
            cfg,
            handler,
            accepting: CancellationToken::new(),
            connections: CancellationToken::new(),
            exchanges: TaskTracker::new(),
            peers: Mutex::default(),
        })
    }

    /// Counts a connection of a peer until the returned value is dropped.
    fn admit(self: &Arc<Self>, peer: &PeerInfo) -> Result<PeerSlot, WireError> {
        let key = (peer.name.clone(), peer.incarnation);
        let mut peers = lock(&self.peers);
        let count = peers.entry(key.clone()).or_default();
        if *count >= self.cfg.max_peer_connections {
            return Err(WireError::PeerConnections);
        }
        *count += 1;
        let acceptor = Arc::clone(self);
        Ok(PeerSlot { acceptor, key })
    }
}

/// One connection of a peer.
struct PeerSlot {
    acceptor: Arc<Acceptor>,
    key: PeerKey,
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        let mut peers = lock(&self.acceptor.peers);
        let Some(count) = peers.get_mut(&self.key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            peers.remove(&self.key);
        }
    }
}

/// Serves one stream that is connected already until it ends, without a listening socket.
///
/// # Errors
///
/// Fails, and counts the reason, if the peer does not prove a secret in time or breaks the
/// protocol.
pub async fn serve_stream<S>(
    stream: S,
    cfg: WireServerConfig,
    handler: Arc<dyn Handler>,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    serve_counted(stream, &Acceptor::new(cfg, handler)).await
}

impl WireServer {
    /// Binds a socket and serves its connections.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        cfg: WireServerConfig,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let acceptor = Acceptor::new(cfg, handler);
        let server = Self {
            addr,
            accepting: acceptor.accepting.clone(),
            connections: acceptor.connections.clone(),
            exchanges: acceptor.exchanges.clone(),
        };
        tokio::spawn(accept_connections(listener, acceptor));
        Ok(server)
    }

    /// The address that was bound.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until no exchange runs, then closes all connections. New exchanges are still
    /// answered meanwhile: the handler refuses them.
    pub async fn shutdown(self) {
        self.exchanges.close();
        self.exchanges.wait().await;
        self.accepting.cancel();
        self.connections.cancel();
    }
}

impl Drop for WireServer {
    fn drop(&mut self) {
        self.accepting.cancel();
        self.connections.cancel();
    }
}

async fn accept_connections(listener: TcpListener, acceptor: Arc<Acceptor>) {
    loop {
        let accepted = tokio::select! {
            () = acceptor.accepting.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &acceptor),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

fn spawn_connection(stream: TcpStream, acceptor: &Arc<Acceptor>) {
    let Ok(slot) = Arc::clone(&acceptor.slots).try_acquire_owned() else {
        metrics::counter!("oriole_wire_closed_total", "reason" => "too_many_connections")
            .increment(1);
        return;
    };
    // Latency suffers without it, but nothing breaks.
    let _ = stream.set_nodelay(true);
    let acceptor = Arc::clone(acceptor);
    tokio::spawn(async move {
        // The reason is counted.
        let _ = serve_counted(stream, &acceptor).await;
        drop(slot);
    });
}

async fn serve_counted<S>(stream: S, acceptor: &Arc<Acceptor>) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    serve(stream, acceptor).await.inspect_err(count_closed)
}

/// Serves one connection until it ends.
async fn serve<S>(stream: S, acceptor: &Arc<Acceptor>) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let cfg = &acceptor.cfg;
    let mut io = Framed::new(stream, FrameCodec::for_handshake());
    let greeting = handshake::accept(&mut io, &cfg.identity, &cfg.secrets);
    let peer = timeout(HANDSHAKE_TIMEOUT, greeting)
        .await
        .map_err(|_| WireError::Timeout)??;
    let _slot = acceptor.admit(&peer)?;
    io.codec_mut().raise_frame_limit();
    let partial = io.codec().partial();
    let (sink, frames) = io.split();
    let mut frames = FrameReader::new(frames, partial);
    let (out, out_rx) = mpsc::channel(OUT_QUEUE_FRAMES);
    let closed = acceptor.connections.child_token();
    let _close_on_end = closed.clone().drop_guard();
    tokio::spawn(write_frames(sink, out_rx, closed.clone()));
    let connection = Arc::new(Connection {
        peer,
        out,
        running: Mutex::default(),
        calls: Arc::new(Semaphore::new(cfg.max_exchanges)),
        closed: closed.clone(),
        acceptor: Arc::clone(acceptor),
    });
    while let Some(frame) = frames.next(&closed).await? {
        connection.take(frame).await?;
    }
    Ok(())
}

struct Running {
    credit: Arc<Semaphore>,
    cancel: CancellationToken,
}

struct Connection {
    peer: PeerInfo,
    out: mpsc::Sender<Frame>,
    running: Mutex<HashMap<(u64, u32), Running>>,
    calls: Arc<Semaphore>,
    closed: CancellationToken,
    acceptor: Arc<Acceptor>,
}

impl Connection {
    async fn take(self: &Arc<Self>, frame: Frame) -> Result<(), WireError> {
        match frame.body.ok_or(WireError::Malformed("empty frame"))? {
            Body::Open(open) => self.open(open).await,
            Body::Credit(credit) => self.credit(credit),
            Body::Cancel(cancel) => {
                self.cancel(cancel.request, cancel.attempt);
                Ok(())
            }
            Body::Call(call) => self.call(call).await,
            _ => Err(WireError::Malformed("frame of the other direction")),
        }
    }

    async fn open(self: &Arc<Self>, open: Open) -> Result<(), WireError> {
        let id = (open.request, open.attempt);
        if lock(&self.running).len() >= self.acceptor.cfg.max_exchanges {
            return self.refuse(id).await;
        }
        let credit = Arc::new(Semaphore::new(WINDOW_CHUNKS as usize));
        let cancel = self.closed.child_token();
        let running = Running {
            credit: Arc::clone(&credit),
            cancel: cancel.clone(),
        };
        if lock(&self.running).insert(id, running).is_some() {
            return Err(WireError::Malformed("an attempt is opened twice"));
        }
        let out = self.out.clone();
        let reply = Reply::new(id.0, id.1, open.resume_from, out, credit, cancel);
        let connection = Arc::clone(self);
        self.acceptor.exchanges.spawn(async move {
            let handler = &connection.acceptor.handler;
            handler.exchange(&connection.peer, open, reply).await;
            lock(&connection.running).remove(&id);
        });
        Ok(())
    }

    async fn refuse(&self, (request, attempt): (u64, u32)) -> Result<(), WireError> {
        let refused = Refused {
            request,
            attempt,
            reason: RefusalReason::QueueFull.code(),
            ..Refused::default()
        };
        self.send(Body::Refused(refused)).await
    }

    fn credit(&self, credit: Credit) -> Result<(), WireError> {
        let running = lock(&self.running);
        let Some(exchange) = running.get(&(credit.request, credit.attempt)) else {
            count_late("credit");
            return Ok(());
        };
        let room = (WINDOW_CHUNKS as usize).saturating_sub(exchange.credit.available_permits());
        if credit.chunks as usize > room {
            return Err(WireError::CreditExceeded);
        }
        exchange.credit.add_permits(credit.chunks as usize);
        Ok(())
    }

    fn cancel(&self, request: u64, attempt: u32) {
        if let Some(exchange) = lock(&self.running).get(&(request, attempt)) {
            exchange.cancel.cancel();
            return;
        }
        count_late("cancel");
    }

    async fn call(self: &Arc<Self>, call: Call) -> Result<(), WireError> {
        let Ok(slot) = Arc::clone(&self.calls).try_acquire_owned() else {
            return self.reply(call.call, Err("too many calls".into())).await;
        };
        let connection = Arc::clone(self);
        tokio::spawn(async move {
            let handler = &connection.acceptor.handler;
            let answer = handler
                .call(&connection.peer, &call.service, call.payload)
                .await;
            // A closed connection has nobody to tell.
            let _ = connection.reply(call.call, answer).await;
            drop(slot);
        });
        Ok(())
    }

    async fn reply(&self, call: u64, answer: Result<Bytes, String>) -> Result<(), WireError> {
        let (error, payload) = match answer {
            Ok(payload) => (String::new(), payload),
            Err(error) => (error, Bytes::new()),
        };
        let reply = CallReply {
            call,
            error,
            payload,
        };
        self.send(Body::CallReply(reply)).await
    }

    async fn send(&self, body: Body) -> Result<(), WireError> {
        self.out
            .send(body.into())
            .await
            .map_err(|_| WireError::Closed)
    }
}
