//! The server side of connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use oriole_kernel::bounded_listener::slots::{CloseReason, ConnectionLimits};
use oriole_kernel::bounded_listener::{self, Tracker};
use oriole_types::outcome::RefusalReason;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::channel::{OUT_QUEUE_FRAMES, count_closed, count_late_frame, lock, write_frames};
use crate::codec::FrameCodec;
use crate::error::WireError;
use crate::exchange::WINDOW_CHUNKS;
use crate::frame::{Body, Call, CallReply, Credit, Frame, Open, Refused};
use crate::handshake::{self, HANDSHAKE_TIMEOUT, Identity};
use crate::reader::FrameReader;
use crate::reply::Reply;
use crate::secret::FleetSecrets;
use crate::unfinished::{CountedFrame, FrameLedger, MAX_UNFINISHED_BYTES};

/// Time after which a connection without a handshake is closed by the listener at the latest. The
/// handshake's own timeout comes first.
const UNAUTHENTICATED_TIMEOUT: Duration = HANDSHAKE_TIMEOUT.saturating_mul(2);

/// Identity of the client that sent a frame.
pub type PeerInfo = Identity;

/// Handles the requests and calls that a server receives.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Runs a request and sends its answer to `reply`.
    async fn exchange(&self, peer: &PeerInfo, open: Open, reply: Reply);

    /// Answers a call to a service. An error text is sent to the client.
    async fn call(&self, peer: &PeerInfo, service: &str, payload: Bytes) -> Result<Bytes, String>;
}

/// Settings of a server.
#[derive(Clone, Debug)]
pub struct WireServerConfig {
    /// Identity that this process sends in the handshake.
    pub identity: Identity,
    /// The fleet secrets.
    pub secrets: FleetSecrets,
    /// Maximum number of concurrent exchanges, and also of concurrent calls, per connection.
    pub max_exchanges: usize,
    /// Maximum number of authenticated connections.
    pub max_connections: usize,
    /// Maximum number of connections whose handshake is not done. When all are taken, the oldest is
    /// closed for a new one.
    pub max_unauthenticated: usize,
    /// Maximum sum of the sizes of frames that have arrived only in part, in bytes, without small
    /// ones (see [`crate::unfinished::SMALL_FRAME_BYTES`]).
    pub max_unfinished_bytes: usize,
    /// Maximum number of connections per client process (name and incarnation).
    pub max_peer_connections: usize,
}

impl WireServerConfig {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(identity: Identity, secrets: FleetSecrets) -> Self {
        Self {
            identity,
            secrets,
            max_exchanges: 8192,
            max_connections: 2048,
            max_unauthenticated: 256,
            max_unfinished_bytes: MAX_UNFINISHED_BYTES,
            max_peer_connections: 64,
        }
    }
}

/// A listening server. Dropping it closes the socket and all connections.
pub struct WireServer {
    addr: SocketAddr,
    stop_accepting: CancellationToken,
    close_connections: CancellationToken,
    exchanges: TaskTracker,
}

/// State shared by the connections of a server.
struct Acceptor {
    cfg: WireServerConfig,
    handler: Arc<dyn Handler>,
    stop_accepting: CancellationToken,
    close_connections: CancellationToken,
    exchanges: TaskTracker,
    connection_slots: Semaphore,
    connections_by_peer: Mutex<HashMap<PeerKey, usize>>,
    unfinished_frames: Arc<FrameLedger>,
}

/// Name and incarnation of a client. After a restart, connections of the previous process do not count
/// towards the limit of the new one.
type PeerKey = (String, u64);

impl Acceptor {
    fn new(cfg: WireServerConfig, handler: Arc<dyn Handler>) -> Arc<Self> {
        Arc::new(Self {
            connection_slots: Semaphore::new(cfg.max_connections),
            unfinished_frames: FrameLedger::new(cfg.max_unfinished_bytes),
            cfg,
            handler,
            stop_accepting: CancellationToken::new(),
            close_connections: CancellationToken::new(),
            exchanges: TaskTracker::new(),
            connections_by_peer: Mutex::default(),
        })
    }

    /// Counts a connection of a client until the returned value is dropped.
    fn admit(self: &Arc<Self>, peer: &PeerInfo) -> Result<PeerSlot, WireError> {
        let key = (peer.name.clone(), peer.incarnation);
        let mut peers = lock(&self.connections_by_peer);
        let count = peers.entry(key.clone()).or_default();
        if *count >= self.cfg.max_peer_connections {
            return Err(WireError::TooManyPeerConnections);
        }
        *count += 1;
        let acceptor = Arc::clone(self);
        Ok(PeerSlot { acceptor, key })
    }
}

/// A counted connection of a client.
struct PeerSlot {
    acceptor: Arc<Acceptor>,
    key: PeerKey,
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        let mut peers = lock(&self.acceptor.connections_by_peer);
        let Some(count) = peers.get_mut(&self.key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            peers.remove(&self.key);
        }
    }
}

/// Serves a single stream that is already connected, without a listening socket, until it ends.
///
/// # Errors
///
/// Fails if the client does not authenticate itself in time or violates the protocol. The reason is
/// counted in the metrics.
pub async fn serve_stream<S>(
    stream: S,
    cfg: WireServerConfig,
    handler: Arc<dyn Handler>,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    serve_and_count_errors(stream, None, &Acceptor::new(cfg, handler)).await
}

impl WireServer {
    /// Binds a socket and starts to accept connections.
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
            stop_accepting: acceptor.stop_accepting.clone(),
            close_connections: acceptor.close_connections.clone(),
            exchanges: acceptor.exchanges.clone(),
        };
        tokio::spawn(accept_connections(listener, acceptor));
        Ok(server)
    }

    /// The bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until no exchange is running, then closes the socket and all connections. Until then new
    /// exchanges are still passed to the handler, which should refuse them.
    pub async fn shutdown(self) {
        self.exchanges.close();
        self.exchanges.wait().await;
        self.stop_accepting.cancel();
        self.close_connections.cancel();
    }
}

impl Drop for WireServer {
    fn drop(&mut self) {
        self.stop_accepting.cancel();
        self.close_connections.cancel();
    }
}

async fn accept_connections(listener: TcpListener, acceptor: Arc<Acceptor>) {
    let limits = ConnectionLimits {
        max_connections: acceptor.cfg.max_unauthenticated,
        idle_timeout: UNAUTHENTICATED_TIMEOUT,
        ..ConnectionLimits::default()
    };
    let stop = acceptor.stop_accepting.clone();
    let serve_one = |stream: TcpStream, _, tracker| {
        // Only affects latency, so an error can be ignored.
        let _ = stream.set_nodelay(true);
        let acceptor = Arc::clone(&acceptor);
        async move {
            // Errors have been counted.
            let _ = serve_and_count_errors(stream, Some(tracker), &acceptor).await;
        }
    };
    let on_error = |_: &std::io::Error| {};
    bounded_listener::accept(listener, limits, stop, on_error, serve_one).await;
}

async fn serve_and_count_errors<S>(
    stream: S,
    tracker: Option<Tracker>,
    acceptor: &Arc<Acceptor>,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    serve(stream, tracker, acceptor)
        .await
        .inspect_err(count_closed)
}

/// Runs the handshake, during which the connection counts as unauthenticated.
async fn authenticate<S>(
    io: &mut Framed<S, FrameCodec>,
    tracker: Option<Tracker>,
    cfg: &WireServerConfig,
) -> Result<PeerInfo, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let pending_handshake = handshake::accept(io, &cfg.identity, &cfg.secrets);
    let pending_handshake = timeout(HANDSHAKE_TIMEOUT, pending_handshake);
    let handshake = match tracker {
        Some(tracker) => tracker.run(pending_handshake).await,
        None => Ok(pending_handshake.await),
    };
    let handshake = handshake.map_err(|reason| match reason {
        CloseReason::Replaced => WireError::TooManyUnauthenticated,
        _ => WireError::Timeout,
    })?;
    handshake.map_err(|_| WireError::Timeout)?
}

/// Serves one connection until it ends.
async fn serve<S>(
    stream: S,
    tracker: Option<Tracker>,
    acceptor: &Arc<Acceptor>,
) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let cfg = &acceptor.cfg;
    let mut io = Framed::new(stream, FrameCodec::for_handshake());
    let peer = authenticate(&mut io, tracker, cfg).await?;
    let _connection_slot = acceptor
        .connection_slots
        .try_acquire()
        .map_err(|_| WireError::TooManyConnections)?;
    let _slot = acceptor.admit(&peer)?;
    io.codec_mut().raise_frame_limit();
    let counted = CountedFrame::new(Arc::clone(&acceptor.unfinished_frames));
    let given_up = counted.given_up();
    io.codec_mut().count_unfinished(counted);
    let partial_frame = io.codec().partial_frame_flag();
    let (sink, frames) = io.split();
    let mut frames = FrameReader::new(frames, partial_frame).until_given_up(given_up);
    let (out, out_rx) = mpsc::channel(OUT_QUEUE_FRAMES);
    let closed = acceptor.close_connections.child_token();
    let _close_on_end = closed.clone().drop_guard();
    tokio::spawn(write_frames(sink, out_rx, closed.clone()));
    let connection = Arc::new(Connection {
        peer,
        out,
        running: Mutex::default(),
        call_slots: Arc::new(Semaphore::new(cfg.max_exchanges)),
        closed: closed.clone(),
        acceptor: Arc::clone(acceptor),
    });
    while let Some(frame) = frames.next(&closed).await? {
        connection.dispatch(frame).await?;
    }
    Ok(())
}

/// State of an exchange that the reader task of its connection updates.
struct RunningExchange {
    /// Chunks that may still be sent; one permit each.
    credit: Arc<Semaphore>,
    /// Cancelled when the client cancels the attempt.
    cancel: CancellationToken,
}

/// An authenticated connection.
struct Connection {
    peer: PeerInfo,
    out: mpsc::Sender<Frame>,
    /// Running exchanges by request and attempt.
    running: Mutex<HashMap<(u64, u32), RunningExchange>>,
    call_slots: Arc<Semaphore>,
    closed: CancellationToken,
    acceptor: Arc<Acceptor>,
}

impl Connection {
    async fn dispatch(self: &Arc<Self>, frame: Frame) -> Result<(), WireError> {
        match frame.body.ok_or(WireError::Malformed("empty frame"))? {
            Body::Open(open) => self.open(open).await,
            Body::Credit(credit) => self.add_credit(credit),
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
            return self.refuse_queue_full(id).await;
        }
        let credit = Arc::new(Semaphore::new(WINDOW_CHUNKS as usize));
        let cancel = self.closed.child_token();
        let running = RunningExchange {
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

    async fn refuse_queue_full(&self, (request, attempt): (u64, u32)) -> Result<(), WireError> {
        let refused = Refused {
            request,
            attempt,
            reason: RefusalReason::QueueFull.code(),
            ..Refused::default()
        };
        self.send(Body::Refused(refused)).await
    }

    fn add_credit(&self, credit: Credit) -> Result<(), WireError> {
        let running = lock(&self.running);
        let Some(exchange) = running.get(&(credit.request, credit.attempt)) else {
            count_late_frame("credit");
            return Ok(());
        };
        let max_grant =
            (WINDOW_CHUNKS as usize).saturating_sub(exchange.credit.available_permits());
        if credit.chunks as usize > max_grant {
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
        count_late_frame("cancel");
    }

    async fn call(self: &Arc<Self>, call: Call) -> Result<(), WireError> {
        let Ok(slot) = Arc::clone(&self.call_slots).try_acquire_owned() else {
            return self.reply(call.call, Err("too many calls".into())).await;
        };
        let connection = Arc::clone(self);
        tokio::spawn(async move {
            let handler = &connection.acceptor.handler;
            let answer = handler
                .call(&connection.peer, &call.service, call.payload)
                .await;
            // Fails only if the connection has ended, so that the client cannot get the reply.
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
