//! Reads an event stream ahead of a caller that reads slowly, so that its upstream is not held up.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::Stream;
use hyper::body::{Body, Frame};
use oriole_memory::budget::UNREAD_TIME;
use oriole_memory::prelude::{BLOCK_BYTES, HolderId};
use tokio::time::Sleep;

use super::body::ResponseInterrupted;
use crate::memory::Holding;
use crate::memory::connection::CallerConnection;

/// Blocks of 16 KiB that wait for one caller at most, together 256 KiB. Events have some hundred bytes,
/// so this holds more than a usual stream.
const MAX_BLOCKS: usize = 16;

/// The caller took nothing for [`UNREAD_TIME`] while the upstream is held up for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowReader {
    /// Bytes that wait for it.
    pub bytes: u64,
    /// Time since it took the last byte.
    pub age: Duration,
}

/// Time between two attempts to get memory for events. Each attempt looks at all holders.
const CHARGE_RETRY_TIME: Duration = Duration::from_millis(100);

type Events = Pin<Box<dyn Stream<Item = Result<Bytes, ResponseInterrupted>> + Send>>;

struct State {
    /// The relay of events; `None` after its end.
    events: Option<Events>,
    /// Events that wait for the caller, in blocks of [`BLOCK_BYTES`].
    blocks: VecDeque<BytesMut>,
    /// Events for which there was no memory. While there are any, nothing is read.
    uncharged: Option<Bytes>,
    /// Time at which memory is asked for again.
    charge_at: Duration,
    /// Whether the stream broke off.
    is_interrupted: bool,
    /// Whether the caller has taken everything, so that the HTTP library polls the relay itself.
    is_awaited: bool,
    /// Memory of the blocks.
    holding: Option<Holding>,
    /// Time since which something waits for the caller.
    waits_since: Duration,
    /// Wakes the task when the caller counts as a slow reader.
    timer: Option<Pin<Box<Sleep>>>,
}

/// An event stream between its relay and its caller. The HTTP library reads from it as fast as the
/// caller does; the connection's task reads on when the caller does not.
pub struct ReadAhead {
    state: Mutex<State>,
}

impl ReadAhead {
    /// Reads ahead of the caller in `events`.
    #[must_use]
    pub fn new(events: Events) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                events: Some(events),
                blocks: VecDeque::new(),
                uncharged: None,
                charge_at: Duration::ZERO,
                is_interrupted: false,
                is_awaited: true,
                holding: None,
                waits_since: Duration::ZERO,
                timer: None,
            }),
        })
    }

    /// Holder of the events that wait for the caller.
    pub fn holder(&self) -> Option<HolderId> {
        self.lock().holding.as_ref().map(Holding::id)
    }

    /// Reads from the relay while the caller does not, as far as there is room.
    ///
    /// # Errors
    ///
    /// Fails if the caller is to be cut off.
    pub fn poll_ahead(
        &self,
        cx: &mut Context<'_>,
        connection: &Arc<CallerConnection>,
    ) -> Result<(), SlowReader> {
        let mut state = self.lock();
        if state.is_awaited {
            return Ok(());
        }
        while state.has_room(connection) {
            let Some(events) = &mut state.events else {
                return Ok(());
            };
            match events.as_mut().poll_next(cx) {
                Poll::Pending => return Ok(()),
                Poll::Ready(Some(Ok(events))) => {
                    if state.blocks.is_empty() {
                        state.waits_since = connection.gateway().clock.now();
                    }
                    state.push(events, connection);
                }
                Poll::Ready(end) => {
                    state.is_interrupted = end.is_some();
                    state.events = None;
                }
            }
        }
        if state.events.is_none() {
            return Ok(());
        }
        state.poll_slow_reader(cx, connection)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether more may be read. Events for which there was no memory are charged again first.
    fn has_room(&mut self, connection: &Arc<CallerConnection>) -> bool {
        if connection.gateway().clock.now() >= self.charge_at
            && let Some(events) = self.uncharged.take()
        {
            self.push(events, connection);
        }
        self.uncharged.is_none() && self.blocks.len() < MAX_BLOCKS
    }

    fn push(&mut self, events: Bytes, connection: &Arc<CallerConnection>) {
        let room = self.blocks.back().map_or(0, |b| BLOCK_BYTES - b.len());
        let missing = events.len().saturating_sub(room).div_ceil(BLOCK_BYTES);
        if missing > 0 && !self.try_charge(missing * BLOCK_BYTES, connection) {
            self.uncharged = Some(events);
            self.charge_at = connection.gateway().clock.now() + CHARGE_RETRY_TIME;
            return;
        }
        let mut rest = &events[..];
        while !rest.is_empty() {
            if self.blocks.back().is_none_or(|b| b.len() == BLOCK_BYTES) {
                self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES));
            }
            if let Some(last) = self.blocks.back_mut() {
                let (now, later) = rest.split_at(rest.len().min(BLOCK_BYTES - last.len()));
                last.extend_from_slice(now);
                rest = later;
            }
        }
    }

    fn try_charge(&mut self, bytes: usize, connection: &Arc<CallerConnection>) -> bool {
        if self.holding.is_none() {
            self.holding = connection.open_stream().ok();
        }
        let holding = self.holding.as_ref();
        holding.is_some_and(|h| h.charge_now(bytes).is_ok())
    }

    /// Checks how long the caller has taken nothing. Only called while the upstream is held up.
    fn poll_slow_reader(
        &mut self,
        cx: &mut Context<'_>,
        connection: &Arc<CallerConnection>,
    ) -> Result<(), SlowReader> {
        let now = connection.gateway().clock.now();
        let since = connection.taken_at().max(self.waits_since);
        let remaining = (since + UNREAD_TIME).saturating_sub(now);
        if remaining.is_zero() {
            return Err(SlowReader {
                bytes: (self.blocks.len() * BLOCK_BYTES) as u64,
                age: now.saturating_sub(since),
            });
        }
        let until_charge = self.charge_at.saturating_sub(now);
        let wait = match self.uncharged {
            Some(_) => remaining.min(until_charge.max(Duration::from_millis(1))),
            None => remaining,
        };
        let deadline = tokio::time::Instant::now() + wait;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        timer.as_mut().reset(deadline);
        // It has just been set, so it is pending.
        let _ = timer.as_mut().poll(cx);
        Ok(())
    }

    /// The next bytes for the caller that were read ahead.
    fn pop(&mut self) -> Option<Bytes> {
        if let Some(block) = self.blocks.pop_front() {
            if let Some(holding) = &self.holding {
                holding.release(BLOCK_BYTES);
            }
            return Some(block.freeze());
        }
        self.holding = None;
        self.timer = None;
        self.uncharged.take()
    }
}

/// The caller's end of a [`ReadAhead`].
pub struct ReadAheadBody(pub Arc<ReadAhead>);

impl Body for ReadAheadBody {
    type Data = Bytes;
    type Error = ResponseInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseInterrupted>>> {
        let mut state = self.0.lock();
        state.is_awaited = false;
        if let Some(bytes) = state.pop() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(events) = &mut state.events else {
            let end = std::mem::take(&mut state.is_interrupted);
            return Poll::Ready(end.then_some(Err(ResponseInterrupted)));
        };
        match events.as_mut().poll_next(cx) {
            Poll::Pending => {
                state.is_awaited = true;
                Poll::Pending
            }
            Poll::Ready(next) => Poll::Ready(next.map(|r| r.map(Frame::data))),
        }
    }
}

impl Drop for ReadAheadBody {
    fn drop(&mut self) {
        // Dropped after the lock is released: the relay logs how the stream ended.
        let (events, holding) = {
            let mut state = self.0.lock();
            state.blocks.clear();
            state.uncharged = None;
            state.timer = None;
            (state.events.take(), state.holding.take())
        };
        drop((events, holding));
    }
}
