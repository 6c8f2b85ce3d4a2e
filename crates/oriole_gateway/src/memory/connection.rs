//! A caller's connection as the memory budget sees it.

use std::hash::{BuildHasher as _, RandomState};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::task::AtomicWaker;
use hyper::body::{Body, Frame};
use metrics::counter;
use oriole_memory::prelude::*;

use super::{Holding, REQUEST_BYTES};
use crate::forward::read_ahead::ReadAhead;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// How far the connection's present request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// None was read.
    Waiting,
    /// Its head was read.
    Receiving,
    /// It was read whole.
    Running,
}

/// How the daemon ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closed between requests.
    Close,
    /// Closed within a response, which must not look complete.
    Abort,
}

struct State {
    phase: Phase,
    /// Holder of the request that is being read.
    request: Option<HolderId>,
    /// Id of the last request.
    request_id: String,
    /// Whether the request that is being read was cut off.
    is_request_cut: bool,
    /// The response that the caller is taking.
    response: Option<Holding>,
    /// Whether a body was refused that the caller may still be sending.
    is_body_refused: bool,
    /// The event stream that the caller is taking.
    read_ahead: Option<Arc<ReadAhead>>,
    end: Option<End>,
}

/// A connection from a caller. The connection's task polls everything that belongs to it: the HTTP
/// library, the request, and the event stream.
pub struct CallerConnection {
    gateway: Arc<Gateway>,
    holder: HolderId,
    state: Mutex<State>,
    /// Wakes the connection's task.
    waker: AtomicWaker,
    /// Whether the body of the response was handed to the HTTP library to its end.
    is_answer_done: AtomicBool,
    /// Time at which the caller last took a byte, in microseconds.
    taken_at: AtomicU64,
}

/// Hash of a client account's name for the budget.
fn account_hash(account: &str) -> u64 {
    static HASHER: LazyLock<RandomState> = LazyLock::new(RandomState::new);
    HASHER.hash_one(account)
}

impl CallerConnection {
    pub(super) fn new(gateway: Arc<Gateway>, holder: HolderId) -> Arc<Self> {
        Arc::new(Self {
            gateway,
            holder,
            state: Mutex::new(State {
                phase: Phase::Waiting,
                request: None,
                request_id: String::new(),
                is_request_cut: false,
                response: None,
                is_body_refused: false,
                read_ahead: None,
                end: None,
            }),
            waker: AtomicWaker::new(),
            is_answer_done: AtomicBool::new(false),
            taken_at: AtomicU64::new(0),
        })
    }

    /// The daemon that the connection belongs to.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Id of the last request; empty if there was none.
    pub(super) fn request_id(&self) -> String {
        self.lock().request_id.clone()
    }

    /// Records that bytes were received.
    pub(super) fn on_received(&self) {
        let request = self.lock().request;
        let now = self.gateway.clock.now();
        let ids = std::iter::once(self.holder).chain(request);
        self.gateway.memory.progressed(now, ids);
    }

    /// Records that the caller took bytes.
    pub(super) fn on_taken(&self) {
        let now = self.gateway.clock.now();
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.taken_at.store(micros, Ordering::Relaxed);
        let state = self.lock();
        let response = state.response.as_ref().map(Holding::id);
        let read_ahead = state.read_ahead.clone();
        drop(state);
        let stream = read_ahead.and_then(|r| r.holder());
        let is_answered = response.is_some() || self.is_answer_done.load(Ordering::Relaxed);
        if is_answered || stream.is_some() {
            let connection = is_answered.then_some(self.holder);
            let ids = response.into_iter().chain(stream).chain(connection);
            self.gateway.memory.progressed(now, ids);
        }
    }

    /// Time at which the caller last took a byte.
    pub fn taken_at(&self) -> Duration {
        Duration::from_micros(self.taken_at.load(Ordering::Relaxed))
    }

    /// Records that everything written was passed to the kernel. The response that was handed over
    /// whole has ended then.
    pub(super) fn on_flushed(&self) {
        if self.is_answer_done.swap(false, Ordering::Relaxed) {
            self.end_answer();
        }
    }

    /// Records that the body of a response was handed to the HTTP library to its end, or dropped.
    pub fn on_answer_done(&self) {
        self.is_answer_done.store(true, Ordering::Relaxed);
        self.await_reader();
    }

    /// Records that nothing but the caller's reading ends the request.
    fn await_reader(&self) {
        let now = self.gateway.clock.now();
        self.gateway
            .memory
            .set_class(now, self.holder, Class::Unread);
    }

    fn end_answer(&self) {
        let mut state = self.lock();
        state.phase = Phase::Waiting;
        state.request = None;
        let finished = (state.response.take(), state.read_ahead.take());
        let is_cut = std::mem::take(&mut state.is_request_cut);
        // After a refusal the HTTP library closes the connection, once the caller has stopped sending.
        let is_closing = is_cut && !state.is_body_refused;
        if is_closing {
            state.end.get_or_insert(End::Close);
        }
        drop(state);
        drop(finished);
        if is_closing {
            self.waker.wake();
        }
        let now = self.gateway.clock.now();
        let memory = &self.gateway.memory;
        memory.set_class(now, self.holder, Class::Unfinished);
        memory.connection_freed.notify_one();
    }

    /// Records that the head of a request was read.
    pub fn on_request(&self) {
        self.on_flushed();
        let mut state = self.lock();
        state.phase = Phase::Receiving;
        state.request_id.clear();
    }

    /// Whether a request was read and not yet answered in full.
    pub fn has_request(&self) -> bool {
        self.lock().phase != Phase::Waiting
    }

    /// Charges a request whose head was read.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory, or if the connection was cut off.
    pub async fn open_request(
        self: &Arc<Self>,
        id: &str,
        account: Option<&str>,
        head_bytes: usize,
    ) -> Result<Holding, Refusal> {
        self.lock().request_id.push_str(id);
        let owner = Owner {
            account: account.map(account_hash),
            ..Owner::of(Kind::Request)
        };
        let fixed = REQUEST_BYTES + head_bytes as u64;
        let (holding, has_victims) =
            Holding::open(self, owner, fixed).map_err(|_| Refusal::Memory)?;
        self.lock().request = Some(holding.id());
        if has_victims {
            // The tasks of the victims are ready already, so they run before this one goes on.
            tokio::task::yield_now().await;
        }
        Ok(holding)
    }

    /// Waits for the next frame of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the request was cut off for memory, or if the connection broke.
    pub async fn next_frame<B>(&self, body: &mut B) -> Result<Option<Frame<Bytes>>, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        std::future::poll_fn(|cx| {
            if self.lock().is_request_cut {
                return Poll::Ready(Err(Refusal::Memory));
            }
            let frame = std::task::ready!(std::pin::Pin::new(&mut *body).poll_frame(cx));
            Poll::Ready(frame.transpose().map_err(|_| Refusal::Malformed))
        })
        .await
    }

    /// Records that a request was refused before its body was read whole.
    pub fn on_body_refused(&self) {
        self.lock().is_body_refused = true;
    }

    /// Whether a body was refused that the caller may still be sending.
    pub(super) fn is_body_refused(&self) -> bool {
        self.lock().is_body_refused
    }

    /// Records that a request was read whole. It is not cut off any more.
    ///
    /// # Errors
    ///
    /// Fails if it was cut off before.
    pub fn on_request_read(&self, holding: &Holding) -> Result<(), Refusal> {
        let mut state = self.lock();
        if state.is_request_cut {
            return Err(Refusal::Memory);
        }
        state.phase = Phase::Running;
        state.request = None;
        drop(state);
        holding.set_class(Class::Running);
        let now = self.gateway.clock.now();
        self.gateway
            .memory
            .set_class(now, self.holder, Class::Running);
        Ok(())
    }

    /// Charges a response that is being buffered.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory.
    pub fn open_response(self: &Arc<Self>) -> Result<Holding, Shortage> {
        let (holding, _) = Holding::open(self, Owner::of(Kind::Response), 0)?;
        Ok(holding)
    }

    /// Charges events that wait for the caller.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory.
    pub fn open_stream(self: &Arc<Self>) -> Result<Holding, Shortage> {
        let owner = Owner {
            class: Class::Unread,
            ..Owner::of(Kind::Stream)
        };
        let (holding, _) = Holding::open(self, owner, 0)?;
        Ok(holding)
    }

    /// Hands a buffered response over to the caller. It is charged until the caller has taken it.
    pub fn hand_over(&self, response: Holding) {
        response.set_class(Class::Unread);
        self.await_reader();
        let before = self.lock().response.replace(response);
        drop(before);
    }

    /// Sets the event stream that is read ahead of the caller.
    pub fn set_read_ahead(&self, read_ahead: Arc<ReadAhead>) {
        self.lock().read_ahead = Some(read_ahead);
    }

    /// Reads ahead of the caller. Polled by the connection's task after the HTTP library.
    fn poll_read_ahead(self: &Arc<Self>, cx: &mut Context<'_>) {
        let read_ahead = self.lock().read_ahead.clone();
        if let Some(read_ahead) = read_ahead
            && let Err(reader) = read_ahead.poll_ahead(cx, self)
            && !self.is_aborted()
        {
            super::cut_off_slow_reader(self, reader);
        }
    }

    /// Reads ahead of the caller, and returns whether the connection is to end.
    pub fn poll_end(self: &Arc<Self>, cx: &mut Context<'_>) -> Poll<End> {
        self.waker.register(cx.waker());
        self.poll_read_ahead(cx);
        match self.lock().end {
            Some(end) => Poll::Ready(end),
            None => Poll::Pending,
        }
    }

    /// Whether the connection was closed within a response.
    pub fn is_aborted(&self) -> bool {
        self.lock().end == Some(End::Abort)
    }

    /// Cuts off what is held for the connection.
    pub(super) fn cut_off(&self, kind: Kind, reason: &'static str) {
        let mut state = self.lock();
        match kind {
            Kind::Connection | Kind::Request if state.phase == Phase::Receiving => {
                state.is_request_cut = true;
            }
            // Its caller left the answer unread.
            Kind::Connection if state.phase == Phase::Running => state.end = Some(End::Abort),
            Kind::Connection | Kind::Request => state.end = state.end.or(Some(End::Close)),
            Kind::Response | Kind::Stream => state.end = Some(End::Abort),
        }
        drop(state);
        counter!("oriole_connections_closed_total", "reason" => reason).increment(1);
        self.waker.wake();
    }

    /// Records that the connection has ended.
    pub fn on_closed(&self) {
        let mut state = self.lock();
        let finished = (state.response.take(), state.read_ahead.take());
        drop(state);
        drop(finished);
        self.gateway.memory.close(self.holder);
        self.gateway.memory.connection_freed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
