//! A request and its answer, on the client side.

use std::sync::Arc;

use bytes::Bytes;
use oriole_types::fleet::LoadReport;
use oriole_types::ids::{Attempt, Incarnation, Revision, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};
use tokio::sync::mpsc;

use crate::channel::Shared;
use crate::checksum::Checksum;
use crate::frame::{Body, Cancel, Chunk, Credit, End, Failed, Load, Refused};

/// Initial credit: the number of chunks that the server may send before it needs more credit.
pub const WINDOW_CHUNKS: u32 = 64;

/// Number of received chunks after which the client grants new credit for them.
const CREDIT_BATCH_CHUNKS: u32 = 16;

/// An event of an exchange, in the order of the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeEvent {
    /// The next part of the answer, in order.
    Chunk {
        /// Position of the first item.
        position: u64,
        /// Number of items.
        items: u32,
        /// The items.
        data: Bytes,
    },
    /// The answer is complete.
    End {
        /// Position after the last item.
        position: u64,
        /// Whether this is the answer of an earlier request with the same key.
        replayed: bool,
        /// Load of the upstream.
        load: Option<LoadReport>,
        /// Configuration revision of the agent.
        revision: Revision,
    },
    /// The request did not run under this attempt.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which to retry, in milliseconds; 0 if not known.
        retry_after_ms: u32,
        /// VM to which the request should be sent instead.
        redirect_to: Option<VmName>,
        /// Incarnation of that VM that holds the answer for the key in memory; another one does not.
        recall: Option<Incarnation>,
        /// Load of the upstream.
        load: Option<LoadReport>,
        /// Configuration revision of the agent.
        revision: Revision,
    },
    /// The request may have run.
    Failed {
        /// Why it is not known whether the request ran.
        reason: UnknownReason,
        /// Load of the upstream.
        load: Option<LoadReport>,
    },
}

/// A request and its answer.
///
/// Receive events until one that ends the exchange. Positions and the checksum are verified. Dropping
/// the exchange earlier cancels the request at the server.
pub struct Exchange {
    shared: Arc<Shared>,
    request: u64,
    attempt: Attempt,
    rx: mpsc::Receiver<Body>,
    next_position: u64,
    checksum: Checksum,
    /// Received chunks for which no credit was returned yet.
    uncredited_chunks: u32,
    chunk_received: bool,
    /// Whether an event that ends the exchange was returned.
    finished: bool,
    /// Whether the server has ended the exchange, so that it needs no cancel.
    ended_by_server: bool,
}

impl Exchange {
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: u64,
        attempt: Attempt,
        rx: mpsc::Receiver<Body>,
        resume_from: u64,
    ) -> Self {
        Self {
            shared,
            request,
            attempt,
            rx,
            next_position: resume_from,
            checksum: Checksum::new(request, attempt),
            uncredited_chunks: 0,
            chunk_received: false,
            finished: false,
            ended_by_server: false,
        }
    }

    /// Position after the last item received.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.next_position
    }

    /// Waits for the next event.
    ///
    /// Returns [`ExchangeEvent::Failed`] if the connection is lost, a chunk is missing or the
    /// checksum is wrong, and on every call after the exchange has ended.
    pub async fn recv(&mut self) -> ExchangeEvent {
        if self.finished {
            let reason = UnknownReason::Incomplete;
            return ExchangeEvent::Failed { reason, load: None };
        }
        let Some(body) = self.rx.recv().await else {
            return self.fail(UnknownReason::AgentLost);
        };
        match body {
            Body::Chunk(chunk) => self.on_chunk(chunk),
            Body::End(end) => self.on_end(&end),
            Body::Refused(refused) => self.on_refused(refused),
            Body::Failed(failed) => self.on_failed(&failed),
            _ => self.fail(UnknownReason::Incomplete),
        }
    }

    fn on_chunk(&mut self, chunk: Chunk) -> ExchangeEvent {
        if chunk.position != self.next_position {
            return self.fail(UnknownReason::Incomplete);
        }
        let Some(next) = chunk.position.checked_add(chunk.items.into()) else {
            return self.fail(UnknownReason::Incomplete);
        };
        self.next_position = next;
        self.chunk_received = true;
        self.checksum.update(&chunk.data);
        self.renew_credit();
        ExchangeEvent::Chunk {
            position: chunk.position,
            items: chunk.items,
            data: chunk.data,
        }
    }

    fn on_end(&mut self, end: &End) -> ExchangeEvent {
        if end.position != self.next_position || end.checksum != self.checksum.value() {
            return self.fail(UnknownReason::Incomplete);
        }
        self.finish();
        ExchangeEvent::End {
            position: end.position,
            replayed: end.replayed,
            load: end.load.map(LoadReport::from),
            revision: Revision(end.revision),
        }
    }

    fn on_refused(&mut self, refused: Refused) -> ExchangeEvent {
        let Some(reason) = RefusalReason::from_code(refused.reason) else {
            return self.fail(UnknownReason::Incomplete);
        };
        if self.chunk_received {
            return self.fail(UnknownReason::Incomplete);
        }
        self.finish();
        ExchangeEvent::Refused {
            reason,
            retry_after_ms: refused.retry_after_ms,
            redirect_to: (!refused.redirect_to.is_empty())
                .then(|| VmName::new(&refused.redirect_to)),
            recall: (refused.recall != 0).then_some(Incarnation(refused.recall)),
            load: refused.load.map(LoadReport::from),
            revision: Revision(refused.revision),
        }
    }

    fn on_failed(&mut self, failed: &Failed) -> ExchangeEvent {
        let reason =
            UnknownReason::from_code(failed.reason).unwrap_or(UnknownReason::UpstreamFailed);
        self.finish();
        ExchangeEvent::Failed {
            reason,
            load: failed.load.map(|l: Load| l.into()),
        }
    }

    /// Marks the exchange as ended by the server.
    fn finish(&mut self) {
        self.finished = true;
        self.ended_by_server = true;
    }

    /// Ends the exchange locally. The server is sent a cancel when this value is dropped.
    fn fail(&mut self, reason: UnknownReason) -> ExchangeEvent {
        self.finished = true;
        metrics::counter!("oriole_wire_exchange_failed_total", "reason" => reason.as_str())
            .increment(1);
        ExchangeEvent::Failed { reason, load: None }
    }

    fn renew_credit(&mut self) {
        self.uncredited_chunks += 1;
        if self.uncredited_chunks < CREDIT_BATCH_CHUNKS {
            return;
        }
        let credit = Credit {
            request: self.request,
            attempt: self.attempt,
            chunks: self.uncredited_chunks,
        };
        self.uncredited_chunks = 0;
        // Must not be dropped if the queue is full: without this credit the answer would stall.
        self.shared.send_detached(Body::Credit(credit));
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.shared.unregister(self.request, self.attempt);
        if !self.ended_by_server {
            let cancel = Cancel {
                request: self.request,
                attempt: self.attempt,
            };
            self.shared.send_detached(Body::Cancel(cancel));
        }
    }
}
