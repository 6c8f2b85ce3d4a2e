//! Faulty implementations of [`Reader`]. The tests check that the oracle detects their faults, so that
//! it would also detect them in [`Exchange`]. They produce events directly from the frames that reach
//! the client.

use std::collections::VecDeque;

use futures::FutureExt;
use oriole_types::ids::Revision;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::frame::Body;
use oriole_wire::prelude::*;

use crate::harness::Reader;
use crate::proxy::AttemptId;

/// Accepts chunks in any order, and any end as the end of a complete answer.
pub struct IgnoresPositions(UncheckedReader);

/// Accepts the frames of other attempts of the same request.
pub struct IgnoresAttempts(UncheckedReader);

/// Produces events from frames without the checks of [`Exchange`].
struct UncheckedReader {
    exchange: Exchange,
    id: AttemptId,
    position: u64,
    frames: VecDeque<Body>,
}

fn id_of(body: &Body) -> Option<AttemptId> {
    match body {
        Body::Chunk(f) => Some((f.request, f.attempt)),
        Body::End(f) => Some((f.request, f.attempt)),
        Body::Refused(f) => Some((f.request, f.attempt)),
        Body::Failed(f) => Some((f.request, f.attempt)),
        _ => None,
    }
}

impl UncheckedReader {
    fn new(exchange: Exchange, id: AttemptId) -> Self {
        Self {
            exchange,
            id,
            position: 0,
            frames: VecDeque::new(),
        }
    }

    fn next(&mut self, closed: bool, check_positions: bool) -> Option<ExchangeEvent> {
        // Consumes the frames, which renews the credit. The resulting event is ignored.
        let _ = self.exchange.recv().now_or_never();
        let failed = |reason| ExchangeEvent::Failed { reason, load: None };
        let Some(body) = self.frames.pop_front() else {
            return closed.then_some(failed(UnknownReason::AgentLost));
        };
        Some(match body {
            Body::Chunk(f) if check_positions && f.position != self.position => {
                failed(UnknownReason::Incomplete)
            }
            Body::Chunk(f) => {
                self.position += u64::from(f.items);
                ExchangeEvent::Chunk {
                    position: f.position,
                    items: f.items,
                    data: f.data,
                }
            }
            Body::End(f) => ExchangeEvent::End {
                position: f.position,
                replayed: false,
                load: None,
                revision: Revision(0),
            },
            Body::Refused(_) => ExchangeEvent::Refused {
                reason: RefusalReason::UpstreamFull,
                retry_after_ms: 0,
                redirect_to: None,
                recall: None,
                load: None,
                revision: Revision(0),
            },
            _ => failed(UnknownReason::UpstreamFailed),
        })
    }
}

impl Reader for IgnoresPositions {
    const FAULTY: bool = true;

    fn new(exchange: Exchange, id: AttemptId) -> Self {
        Self(UncheckedReader::new(exchange, id))
    }

    fn on_frame(&mut self, body: &Body) {
        if id_of(body) == Some(self.0.id) {
            self.0.frames.push_back(body.clone());
        }
    }

    fn next(&mut self, closed: bool) -> Option<ExchangeEvent> {
        self.0.next(closed, false)
    }
}

impl Reader for IgnoresAttempts {
    const FAULTY: bool = true;

    fn new(exchange: Exchange, id: AttemptId) -> Self {
        Self(UncheckedReader::new(exchange, id))
    }

    fn on_frame(&mut self, body: &Body) {
        if id_of(body).is_some_and(|id| id.0 == self.0.id.0) {
            self.0.frames.push_back(body.clone());
        }
    }

    fn next(&mut self, closed: bool) -> Option<ExchangeEvent> {
        self.0.next(closed, true)
    }
}
