//! The client side of a connection.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use oriole_types::ids::Attempt;
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::codec::{FrameCodec, FrameError};
use crate::error::WireError;
use crate::exchange::{Exchange, WINDOW_CHUNKS};
use crate::frame::{Body, Call, CallReply, Frame, Open};
use crate::handshake::{self, HANDSHAKE_TIMEOUT, Identity};
use crate::reader::FrameReader;
use crate::secret::FleetSecrets;

/// Size of the queue of outgoing frames of a connection.
pub(crate) const OUT_QUEUE_FRAMES: usize = 1024;

/// Maximum number of queued frames that are written before the connection is flushed.
const FLUSH_BATCH_FRAMES: usize = 128;

/// Timeout for writing a batch of frames. A peer that does not read for this long is disconnected.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Estimated size of a frame without the message it carries, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 12;

/// Time after the local side closes the connection during which queued frames are still written.
const CLOSE_GRACE: Duration = Duration::from_millis(500);

/// Capacity of an exchange's queue beyond its credit, for the frame that ends it.
const EXTRA_QUEUE_FRAMES: usize = 4;

/// Settings for connections to other processes.
#[derive(Clone, Debug)]
pub struct ChannelConfig {
    /// Identity that this process sends in the handshake.
    pub identity: Identity,
    /// The fleet secrets.
    pub secrets: FleetSecrets,
    /// Timeout for the TCP connection, without the handshake.
    pub connect_timeout: Duration,
}

impl ChannelConfig {
    /// Creates settings with the default timeout.
    #[must_use]
    pub fn new(identity: Identity, secrets: FleetSecrets) -> Self {
        Self {
            identity,
            secrets,
            connect_timeout: Duration::from_secs(2),
        }
    }
}

/// A connection to another process, which carries many exchanges and calls at the same time.
///
/// Clones share the connection. It is closed when the last clone is dropped; exchanges that are still
/// running then fail.
#[derive(Clone)]
pub struct Channel {
    shared: Arc<Shared>,
    _guard: Arc<tokio_util::sync::DropGuard>,
}

/// State that a channel shares with its exchanges and tasks.
pub(crate) struct Shared {
    peer: Identity,
    out: mpsc::Sender<Frame>,
    /// Running exchanges by request and attempt.
    exchanges: Mutex<HashMap<(u64, Attempt), mpsc::Sender<Body>>>,
    /// Pending calls by number.
    calls: Mutex<HashMap<u64, oneshot::Sender<Result<Bytes, WireError>>>>,
    next_call: AtomicU64,
    closed: CancellationToken,
}

impl Channel {
    /// Connects to a process and runs the handshake.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached in time or does not authenticate itself.
    pub async fn connect(addr: SocketAddr, cfg: &ChannelConfig) -> Result<Self, WireError> {
        let stream = timeout(cfg.connect_timeout, TcpStream::connect(addr))
            .await
            .map_err(|_| WireError::Unreachable("no connection in time".into()))?
            .map_err(|e| WireError::Unreachable(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| WireError::Unreachable(e.to_string()))?;
        Self::connect_over(stream, cfg).await
    }

    /// Runs the handshake over a stream that is already connected.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not authenticate itself in time.
    pub async fn connect_over<S>(stream: S, cfg: &ChannelConfig) -> Result<Self, WireError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let mut io = Framed::new(stream, FrameCodec::for_handshake());
        let pending_handshake = handshake::connect(&mut io, &cfg.identity, &cfg.secrets);
        let peer = timeout(HANDSHAKE_TIMEOUT, pending_handshake)
            .await
            .map_err(|_| WireError::Timeout)??;
        io.codec_mut().raise_frame_limit();
        Ok(Self::spawn(io, peer))
    }

    fn spawn<S>(io: Framed<S, FrameCodec>, peer: Identity) -> Self
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let (out, out_rx) = mpsc::channel(OUT_QUEUE_FRAMES);
        let closed = CancellationToken::new();
        let shared = Arc::new(Shared {
            peer,
            out,
            exchanges: Mutex::default(),
            calls: Mutex::default(),
            next_call: AtomicU64::new(1),
            closed: closed.clone(),
        });
        let partial_frame = io.codec().partial_frame_flag();
        let (sink, frames) = io.split();
        tokio::spawn(write_frames(sink, out_rx, closed.clone()));
        tokio::spawn(read_frames(
            FrameReader::new(frames, partial_frame),
            Arc::clone(&shared),
        ));
        let guard = Arc::new(closed.drop_guard());
        Self {
            shared,
            _guard: guard,
        }
    }

    /// Identity of the peer, without its failure domain.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        &self.shared.peer
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.closed.is_cancelled()
    }

    /// Opens an exchange.
    ///
    /// # Errors
    ///
    /// Fails only if no part of the request was queued for sending, so that the request cannot have
    /// run.
    pub async fn open(&self, open: Open) -> Result<Exchange, WireError> {
        let (request, attempt) = (open.request, open.attempt);
        let resume_from = open.resume_from;
        let permit = self
            .shared
            .out
            .reserve()
            .await
            .map_err(|_| WireError::Closed)?;
        if self.is_closed() {
            return Err(WireError::Closed);
        }
        let (tx, rx) = mpsc::channel(WINDOW_CHUNKS as usize + EXTRA_QUEUE_FRAMES);
        self.shared.register(request, attempt, tx)?;
        permit.send(Body::Open(open).into());
        let shared = Arc::clone(&self.shared);
        let exchange = Exchange::new(shared, request, attempt, rx, resume_from);
        if self.is_closed() {
            // The reader task may have cleared the table before the exchange was registered.
            self.shared.unregister(request, attempt);
        }
        Ok(exchange)
    }

    /// Sends a message to a service of the peer and waits for its answer, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, the peer refuses the call, or there is no answer in time.
    pub async fn call(
        &self,
        service: &str,
        payload: Bytes,
        wait: Duration,
    ) -> Result<Bytes, WireError> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.shared.calls).insert(call, tx);
        let _guard = CallGuard {
            shared: &self.shared,
            call,
        };
        let frame = Frame::from(Body::Call(Call {
            call,
            service: service.to_owned(),
            payload,
        }));
        count_call_bytes(service, "sent", frame.encoded_len());
        let answer = async {
            self.shared
                .out
                .send(frame)
                .await
                .map_err(|_| WireError::Closed)?;
            tokio::select! {
                biased;
                answer = rx => answer.map_err(|_| WireError::Closed)?,
                () = self.shared.closed.cancelled() => Err(WireError::Closed),
            }
        };
        let answer = timeout(wait, answer)
            .await
            .unwrap_or(Err(WireError::Timeout))?;
        count_call_bytes(service, "received", answer.len());
        Ok(answer)
    }
}

/// Counts the bytes of a call by service and direction, including the frame's length and tags.
fn count_call_bytes(service: &str, direction: &'static str, len: usize) {
    let bytes = (len + FRAME_OVERHEAD_BYTES) as u64;
    metrics::counter!("oriole_call_bytes_total",
        "service" => service.to_owned(), "direction" => direction)
    .increment(bytes);
}

/// Removes a call from the table of pending calls when it is dropped.
struct CallGuard<'a> {
    shared: &'a Shared,
    call: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.calls).remove(&self.call);
    }
}

impl Shared {
    /// Queues a frame without waiting. If the queue is full, a new task waits for room.
    pub(crate) fn send_detached(&self, body: Body) {
        if let Err(mpsc::error::TrySendError::Full(frame)) = self.out.try_send(body.into()) {
            let out = self.out.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { out.send(frame).await });
            }
        }
    }

    /// Registers an exchange. Fails if the attempt is already registered, which stays unaffected.
    fn register(
        &self,
        request: u64,
        attempt: Attempt,
        tx: mpsc::Sender<Body>,
    ) -> Result<(), WireError> {
        match lock(&self.exchanges).entry((request, attempt)) {
            Entry::Occupied(_) => Err(WireError::Malformed("an attempt is opened twice")),
            Entry::Vacant(entry) => {
                entry.insert(tx);
                Ok(())
            }
        }
    }

    pub(crate) fn unregister(&self, request: u64, attempt: Attempt) {
        lock(&self.exchanges).remove(&(request, attempt));
    }

    fn close(&self) {
        self.closed.cancel();
        lock(&self.exchanges).clear();
        lock(&self.calls).clear();
    }

    fn dispatch(&self, frame: Frame) -> Result<(), WireError> {
        let body = frame.body.ok_or(WireError::Malformed("empty frame"))?;
        let id = match &body {
            Body::Chunk(f) => (f.request, f.attempt),
            Body::End(f) => (f.request, f.attempt),
            Body::Refused(f) => (f.request, f.attempt),
            Body::Failed(f) => (f.request, f.attempt),
            Body::CallReply(_) => return self.dispatch_reply(body),
            _ => return Err(WireError::Malformed("frame of the other direction")),
        };
        self.dispatch_exchange(id, body)
    }

    fn dispatch_exchange(&self, id: (u64, Attempt), body: Body) -> Result<(), WireError> {
        let exchanges = lock(&self.exchanges);
        let Some(tx) = exchanges.get(&id) else {
            count_late_frame(body.kind());
            return Ok(());
        };
        match tx.try_send(body) {
            Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => Ok(()),
            Err(mpsc::error::TrySendError::Full(_)) => Err(WireError::CreditExceeded),
        }
    }

    fn dispatch_reply(&self, body: Body) -> Result<(), WireError> {
        let Body::CallReply(CallReply {
            call,
            error,
            payload,
        }) = body
        else {
            return Err(WireError::Malformed("expected a reply"));
        };
        let Some(tx) = lock(&self.calls).remove(&call) else {
            count_late_frame("call_reply");
            return Ok(());
        };
        let answer = if error.is_empty() {
            Ok(payload)
        } else {
            Err(WireError::CallRefused(error))
        };
        // The caller may have stopped waiting.
        let _ = tx.send(answer);
        Ok(())
    }
}

async fn read_frames<S>(mut frames: FrameReader<S>, shared: Arc<Shared>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let error = loop {
        let handled = match frames.next(&shared.closed).await {
            Ok(None) => Err(WireError::Closed),
            Err(e) => Err(e),
            Ok(Some(frame)) => shared.dispatch(frame),
        };
        if let Err(e) = handled {
            break e;
        }
    };
    count_closed(&error);
    shared.close();
}

/// Writes queued frames and flushes once per batch, until the connection fails or the queue is closed.
///
/// When `closed` is cancelled, frames that are already queued are still written, for at most
/// [`CLOSE_GRACE`].
pub(crate) async fn write_frames<S>(
    mut sink: S,
    mut rx: mpsc::Receiver<Frame>,
    closed: CancellationToken,
) where
    S: SinkExt<Frame, Error = FrameError> + Unpin,
{
    let writing = async {
        while let Some(first) = next_frame(&mut rx, &closed).await {
            match timeout(WRITE_TIMEOUT, write_batch(&mut sink, first, &mut rx)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => break,
                Err(_) => return count_closed(&WireError::SlowReader),
            }
        }
        // If this fails, the connection has already ended.
        let _ = sink.close().await;
    };
    let grace_over = async {
        closed.cancelled().await;
        tokio::time::sleep(CLOSE_GRACE).await;
    };
    tokio::select! {
        () = writing => {}
        () = grace_over => {}
    }
    closed.cancel();
}

/// The next queued frame; `None` if the queue is closed, or empty after `closed` was cancelled.
async fn next_frame(rx: &mut mpsc::Receiver<Frame>, closed: &CancellationToken) -> Option<Frame> {
    tokio::select! {
        biased;
        frame = rx.recv() => frame,
        () = closed.cancelled() => None,
    }
}

async fn write_batch<S>(
    sink: &mut S,
    first: Frame,
    rx: &mut mpsc::Receiver<Frame>,
) -> Result<(), FrameError>
where
    S: SinkExt<Frame, Error = FrameError> + Unpin,
{
    sink.feed(first).await?;
    for _ in 1..FLUSH_BATCH_FRAMES {
        let Ok(frame) = rx.try_recv() else { break };
        sink.feed(frame).await?;
    }
    sink.flush().await
}

pub(crate) fn count_closed(e: &WireError) {
    metrics::counter!("oriole_wire_closed_total", "reason" => e.reason()).increment(1);
}

/// Counts a frame of an attempt or call that has already ended.
pub(crate) fn count_late_frame(frame: &'static str) {
    metrics::counter!("oriole_wire_late_frames_total", "frame" => frame).increment(1);
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
