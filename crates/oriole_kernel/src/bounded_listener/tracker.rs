//! Connects a listener's connections with the decisions of [`super::slots`].

use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

use super::slots::{Admission, CloseReason, ConnectionId, ConnectionLimits, ConnectionSlots};
use crate::clock::Clock;

/// The connections of one listener.
pub(super) struct Connections {
    clock: Clock,
    state: Mutex<State>,
    /// Signalled when a connection has ended, or has received a request although it was chosen to be
    /// closed.
    changed: Notify,
}

struct State {
    slots: ConnectionSlots,
    /// Signalled when the connection is chosen to be closed.
    close_requests: HashMap<ConnectionId, Arc<Notify>>,
}

impl Connections {
    pub fn new(limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(State {
                slots: ConnectionSlots::new(limits),
                close_requests: HashMap::new(),
            }),
            changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot for a connection that was accepted. Another connection may be closed for it.
    pub async fn slot(self: &Arc<Self>) -> Tracker {
        loop {
            let admission = self.state().slots.request(self.clock.now());
            let until = match admission {
                Admission::Granted(id) => {
                    let close_request = Arc::new(Notify::new());
                    let mut state = self.state();
                    state.close_requests.insert(id, close_request.clone());
                    return Tracker {
                        connections: Arc::clone(self),
                        id,
                        close_request,
                    };
                }
                Admission::Close(id) => {
                    if let Some(close_request) = self.state().close_requests.get(&id) {
                        close_request.notify_one();
                    }
                    None
                }
                Admission::Wait(until) => until,
            };
            match until {
                Some(until) => {
                    let wait = until.saturating_sub(self.clock.now());
                    // Asks again in both cases.
                    let _ = timeout(wait, self.changed.notified()).await;
                }
                None => self.changed.notified().await,
            }
        }
    }
}

/// Reports what happens on a connection. Dropping it frees the connection's slot.
pub struct Tracker {
    connections: Arc<Connections>,
    id: ConnectionId,
    close_request: Arc<Notify>,
}

impl Tracker {
    fn update(&self, event: impl FnOnce(&mut ConnectionSlots, ConnectionId, Duration)) {
        let now = self.connections.clock.now();
        event(&mut self.connections.state().slots, self.id, now);
    }

    /// Bytes have arrived.
    pub fn received(&self) {
        self.update(ConnectionSlots::on_received);
    }

    /// A whole request has arrived.
    pub fn request(&self) {
        self.update(ConnectionSlots::on_request);
        // The listener may be waiting for this connection to be closed, or for a later stall.
        self.connections.changed.notify_one();
    }

    /// The peer has taken a part of the response.
    pub fn progress(&self) {
        self.update(ConnectionSlots::on_progress);
    }

    /// The response was sent completely.
    pub fn response_sent(&self) {
        self.update(ConnectionSlots::on_response_sent);
        self.connections.changed.notify_one();
    }

    fn is_closing(&self) -> bool {
        self.connections.state().slots.is_closing(self.id)
    }

    fn deadline(&self) -> Option<(Duration, CloseReason)> {
        self.connections.state().slots.deadline(self.id)
    }

    /// Runs `serve`, which serves the connection, until it ends or a limit is reached.
    ///
    /// # Errors
    ///
    /// Returns the limit. The connection must be closed then.
    pub async fn run<F: Future>(&self, serve: F) -> Result<F::Output, CloseReason> {
        let mut serve = std::pin::pin!(serve);
        loop {
            if let Some(output) = self.until_close_request(serve.as_mut()).await? {
                return Ok(output);
            }
            // Lets a request be read that has already arrived: the runtime polls its sockets before
            // it resumes this task.
            yield_now().await;
            let polled = poll_fn(|cx| Poll::Ready(serve.as_mut().poll(cx))).await;
            if let Poll::Ready(output) = polled {
                return Ok(output);
            }
            if self.is_closing() {
                return Err(CloseReason::Replaced);
            }
        }
    }

    /// Returns `None` when the connection is chosen to be closed.
    async fn until_close_request<F: Future>(
        &self,
        mut serve: Pin<&mut F>,
    ) -> Result<Option<F::Output>, CloseReason> {
        let mut close_request = std::pin::pin!(self.close_request.notified());
        let mut timer = std::pin::pin!(sleep_until(Instant::now()));
        let mut timer_deadline = None;
        poll_fn(|cx| {
            if let Poll::Ready(output) = serve.as_mut().poll(cx) {
                return Poll::Ready(Ok(Some(output)));
            }
            if close_request.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Ok(None));
            }
            // Serving may have changed the deadline.
            let Some((deadline, reason)) = self.deadline() else {
                return Poll::Pending;
            };
            if timer_deadline != Some(deadline) {
                timer_deadline = Some(deadline);
                let left = deadline.saturating_sub(self.connections.clock.now());
                timer.as_mut().reset(Instant::now() + left);
            }
            timer.as_mut().poll(cx).map(|()| Err(reason))
        })
        .await
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.slots.on_closed(self.id);
        state.close_requests.remove(&self.id);
        drop(state);
        self.connections.changed.notify_one();
    }
}
