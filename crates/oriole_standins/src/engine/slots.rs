//! Slots of the batch: a request waits inside the engine for a slot and generates while it holds
//! one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use oriole_types::catalog::Priority;
use tokio::sync::oneshot;

use super::lock;

/// The slots that the requests of an engine share.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    free: u32,
    /// Requests that have had to wait so far; orders waiters of the same priority.
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<Slot>>,
}

/// A held slot; on drop it passes to the waiter of the highest priority.
#[derive(Debug)]
pub(crate) struct Slot {
    /// `None` if dropping it must not pass it on.
    inner: Option<Arc<Mutex<Inner>>>,
}

impl Slots {
    pub(crate) fn new(slots: u32) -> Self {
        let inner = Inner {
            free: slots,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Number of requests that wait for a slot.
    pub(crate) fn waiting(&self) -> u32 {
        let mut inner = lock(&self.inner);
        inner.waiting.retain(|_, tx| !tx.is_closed());
        inner.waiting.len() as u32
    }

    /// Waits for a slot; slots go to waiters by priority, then by arrival.
    pub(crate) async fn acquire(&self, priority: Priority) -> Option<Slot> {
        let rx = {
            let mut inner = lock(&self.inner);
            if inner.free > 0 {
                inner.free -= 1;
                return Some(self.new_slot());
            }
            let (tx, rx) = oneshot::channel();
            inner.arrivals += 1;
            let queue_key = (priority, inner.arrivals);
            inner.waiting.insert(queue_key, tx);
            rx
        };
        rx.await.ok()
    }

    fn new_slot(&self) -> Slot {
        Slot {
            inner: Some(self.inner.clone()),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(inner) = self.inner.take() else {
            return;
        };
        loop {
            let mut guard = lock(&inner);
            let Some((_, tx)) = guard.waiting.pop_first() else {
                guard.free += 1;
                return;
            };
            drop(guard);
            let slot = Slot {
                inner: Some(inner.clone()),
            };
            match tx.send(slot) {
                Ok(()) => return,
                // The waiter has left: the loop serves the next one, so the returned slot must
                // not be passed on when it drops.
                Err(mut slot) => slot.inner = None,
            }
        }
    }
}
