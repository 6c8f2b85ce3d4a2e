//! Readers with a fault each, which the oracle must catch. They see the frames that reach the
//! connecting side and take them for what they say.

use std::collections::VecDeque;

use futures::FutureExt;
use oriole_types::ids::Revision;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::frame::Body;
use oriole_wire::prelude::*;

use crate::middle::Id;
use crate::world::Reader;

/// Takes chunks in whatever order they come, and any end for a whole answer.
pub struct IgnoresPositions(Frames);

/// Takes the frames of an earlier attempt for its own.
pub struct IgnoresAttempts(Frames);

struct Frames {
    exchange: Exchange,
    id: Id,
    position: u64,
    arrived: VecDeque<Body>,
}

fn id_of(body: &Body) -> Option<Id> {
    match body {
        Body::Chunk(f) => Some((f.request, f.attempt)),
        Body::End(f) => Some((f.request, f.attempt)),
        Body::Refused(f) => Some((f.request, f.attempt)),
        Body::Failed(f) => Some((f.request, f.attempt)),
        _ => None,
    }
}

impl Frames {
    fn new(exchange: Exchange, id: Id) -> Self {
        Self {
            exchange,
            id,
            position: 0,
            arrived: VecDeque::new(),
        }
    }

    fn next(&mut self, closed: bool, in_order: bool) -> Option<ExchangeEvent> {
        // Takes the frames and renews their credit; what it makes of them is passed over.
        let _ = self.exchange.recv().now_or_never();
        let failed = |reason| ExchangeEvent::Failed { reason, load: None };
        let Some(body) = self.arrived.pop_front() else {
            return closed.then_some(failed(UnknownReason::AgentLost));
        };
        Some(match body {
            Body::Chunk(f) if in_order && f.position != self.position => {
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

    fn new(exchange: Exchange, id: Id) -> Self {
        Self(Frames::new(exchange, id))
    }

    fn arrived(&mut self, body: &Body) {
        if id_of(body) == Some(self.0.id) {
            self.0.arrived.push_back(body.clone());
        }
    }

    fn next(&mut self, closed: bool) -> Option<ExchangeEvent> {
        self.0.next(closed, false)
    }
}

impl Reader for IgnoresAttempts {
    const FAULTY: bool = true;

    fn new(exchange: Exchange, id: Id) -> Self {
        Self(Frames::new(exchange, id))
    }

    fn arrived(&mut self, body: &Body) {
        if id_of(body).is_some_and(|id| id.0 == self.0.id.0) {
            self.0.arrived.push_back(body.clone());
        }
    }

    fn next(&mut self, closed: bool) -> Option<ExchangeEvent> {
        self.0.next(closed, true)
    }
}
