//! One request and its answer, as the connecting side sees it.

use std::sync::Arc;

use bytes::Bytes;
use oriole_types::fleet::LoadReport;
use oriole_types::ids::{Attempt, Incarnation, Revision, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};
use tokio::sync::mpsc;

use crate::channel::Shared;
use crate::checksum::Checksum;
use crate::frame::{Body, Cancel, Chunk, Credit, End, Failed, Load, Refused};

/// Chunks that the accepting side may send before it needs further credit.
pub const WINDOW_CHUNKS: u32 = 64;

/// Chunks after whose consumption credit is renewed.
const CREDIT_BATCH_CHUNKS: u32 = 16;

/// What happens in an exchange.
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
    /// The answer is whole.
    End {
        /// Position after the last item.
        position: u64,
        /// Whether it answers an earlier request with the same key.
        replayed: bool,
        /// Load of the upstream.
        load: Option<LoadReport>,
        /// Revision the agent holds.
        revision: Revision,
    },
    /// The request did not run under this attempt.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which another try makes sense, in milliseconds.
        retry_after_ms: u32,
        /// VM to ask instead.
        redirect_to: Option<VmName>,
        /// Incarnation of that VM that alone remembers the key.
        recall: Option<Incarnation>,
        /// Load of the upstream.
        load: Option<LoadReport>,
        /// Revision the agent holds.
        revision: Revision,
    },
    /// The request may have run.
    Failed {
        /// Why nobody can say.
        reason: UnknownReason,
        /// Load of the upstream.
        load: Option<LoadReport>,
    },
}

/// One request and its answer.
///
/// Receive events until one that ends the exchange; positions and checksum are verified on the
/// way. Dropping it earlier tells the accepting side that the reader is gone.
pub struct Exchange {
    shared: Arc<Shared>,
    request: u64,
    attempt: Attempt,
    rx: mpsc::Receiver<Body>,
    next_position: u64,
    checksum: Checksum,
    uncredited: u32,
    any_chunk: bool,
    /// An event that ends the exchange was given.
    over: bool,
    /// The accepting side knows that the exchange is over.
    ended: bool,
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
            uncredited: 0,
            any_chunk: false,
            over: false,
            ended: false,
        }
    }

    /// Position after the last item received.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.next_position
    }

    /// The next event.
    ///
    /// A lost connection, a missing part or a wrong checksum is an [`ExchangeEvent::Failed`], and
    /// so is whatever is asked for after the event that ended the exchange.
    pub async fn recv(&mut self) -> ExchangeEvent {
        if self.over {
            let reason = UnknownReason::Incomplete;
            return ExchangeEvent::Failed { reason, load: None };
        }
        let Some(body) = self.rx.recv().await else {
            return self.fail(UnknownReason::AgentLost);
        };
        match body {
            Body::Chunk(chunk) => self.take_chunk(chunk),
            Body::End(end) => self.take_end(&end),
            Body::Refused(refused) => self.take_refused(refused),
            Body::Failed(failed) => self.take_failed(&failed),
            _ => self.fail(UnknownReason::Incomplete),
        }
    }

    fn take_chunk(&mut self, chunk: Chunk) -> ExchangeEvent {
        if chunk.position != self.next_position {
            return self.fail(UnknownReason::Incomplete);
        }
        let Some(next) = chunk.position.checked_add(chunk.items.into()) else {
            return self.fail(UnknownReason::Incomplete);
        };
        self.next_position = next;
        self.any_chunk = true;
        self.checksum.update(&chunk.data);
        self.renew_credit();
        ExchangeEvent::Chunk {
            position: chunk.position,
            items: chunk.items,
            data: chunk.data,
        }
    }

    fn take_end(&mut self, end: &End) -> ExchangeEvent {
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

    fn take_refused(&mut self, refused: Refused) -> ExchangeEvent {
        let Some(reason) = RefusalReason::from_code(refused.reason) else {
            return self.fail(UnknownReason::Incomplete);
        };
        if self.any_chunk {
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

    fn take_failed(&mut self, failed: &Failed) -> ExchangeEvent {
        let reason =
            UnknownReason::from_code(failed.reason).unwrap_or(UnknownReason::UpstreamFailed);
        self.finish();
        ExchangeEvent::Failed {
            reason,
            load: failed.load.map(|l: Load| l.into()),
        }
    }

    fn finish(&mut self) {
        self.over = true;
        self.ended = true;
    }

    /// Ends the exchange locally; the accepting side learns of it when this value is dropped.
    fn fail(&mut self, reason: UnknownReason) -> ExchangeEvent {
        self.over = true;
        metrics::counter!("oriole_wire_exchange_failed_total", "reason" => reason.as_str())
            .increment(1);
        ExchangeEvent::Failed { reason, load: None }
    }

    fn renew_credit(&mut self) {
        self.uncredited += 1;
        if self.uncredited < CREDIT_BATCH_CHUNKS {
            return;
        }
        let credit = Credit {
            request: self.request,
            attempt: self.attempt,
            chunks: self.uncredited,
        };
        self.uncredited = 0;
        // Waits if the connection's queue is full: credit that is never sent stalls the answer.
        self.shared.send_later(Body::Credit(credit));
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.shared.forget(self.request, self.attempt);
        if !self.ended {
            let cancel = Cancel {
                request: self.request,
                attempt: self.attempt,
            };
            self.shared.send_later(Body::Cancel(cancel));
        }
    }
}
