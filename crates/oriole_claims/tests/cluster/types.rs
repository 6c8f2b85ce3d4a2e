//! The parts of the simulated cluster.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use oriole_claims::home::StoreTarget;
use oriole_claims::partition::{StoreCall, StoreOutcome};
use oriole_claims::prelude::*;
use oriole_types::prelude::*;

/// A bug injected on purpose, to show whether the ledger catches it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    #[default]
    None,
    /// Heads are written without a compare-and-swap, as by an owner that trusts a lease.
    LeaseOnly,
    /// A store write without an answer is assumed to have succeeded.
    LostWriteIsDone,
    /// A store write without an answer is assumed to have failed.
    LostWriteIsNotDone,
    /// A request without an answer is assumed not to have been sent.
    LostAnswerIsFailure,
    /// A new owner does not read the segments.
    SegmentsIgnored,
    /// A home accepts the tickets of the previous incarnation.
    TicketsInherited,
}

/// One step of the scheduler. Selectors are taken modulo the number of choices.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send a request with a known key.
    Call { key: u8, body: u8, view: u8 },
    /// Send a request with a new key.
    CallNewKey { form: u8, view: u8 },
    /// Deliver the selected message.
    Deliver(u16),
    /// Deliver this many messages, oldest first.
    DeliverInOrder(u8),
    /// Make the selected message fail in the selected way.
    Fault(u16, u8),
    /// Crash the agent of a slot.
    Crash(u8),
    /// Pause and replace the agent of a slot.
    Pause(u8),
    /// Set the live agents (mask) in the view of the agent of a slot.
    SetView(u8, u8),
    /// Advance the time by the selected length and tick the processes in the mask.
    Advance(u8, u8),
    /// Start or end an outage of the store.
    Outage(bool),
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    Request {
        attempt: usize,
        slot: usize,
        recall: Option<Incarnation>,
    },
    Reply {
        attempt: usize,
        outcome: ClaimOutcome,
    },
    StoreRequest {
        agent: (usize, u64),
        target: StoreTarget,
        call: StoreCall,
    },
    StoreOutcome {
        agent: (usize, u64),
        target: StoreTarget,
        outcome: StoreOutcome,
    },
    /// A store call reported as failed that takes effect later.
    LateWrite(StoreCall),
    Run {
        agent: (usize, u64),
        attempt: usize,
        key: ClaimKey,
    },
    RunOutcome {
        agent: (usize, u64),
        key: ClaimKey,
        outcome: RunOutcome,
    },
}

/// Kinds of messages that a test can make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Request,
    Reply,
    StoreWrite,
    Run,
}

impl MessageKind {
    pub(super) fn matches(self, message: &Message) -> bool {
        match message {
            Message::Request { .. } => self == Self::Request,
            Message::Reply { .. } => self == Self::Reply,
            Message::Run { .. } => self == Self::Run,
            Message::StoreRequest { call, .. } => {
                self == Self::StoreWrite && matches!(call, StoreCall::Write { .. })
            }
            Message::StoreOutcome { .. } | Message::LateWrite(_) | Message::RunOutcome { .. } => {
                false
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Agent {
    pub(super) home: ClaimHome,
    pub(super) incarnation: u64,
    pub(super) started: Duration,
    pub(super) live: Vec<VmName>,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) key: usize,
    pub(super) body: u8,
    pub(super) sent: Duration,
    pub(super) claim_call: ClaimCall,
    /// The attempt whose answer the entry waits for.
    pub(super) attempt: Option<usize>,
    pub(super) final_step: Option<CallStep>,
}

#[derive(Clone, Debug)]
pub(super) struct Key {
    pub(super) text: IdempotencyKey,
    pub(super) plain: bool,
    pub(super) first_sent: Duration,
    pub(super) bodies: Vec<u8>,
}

#[derive(Default, Debug)]
pub(super) struct Ledger {
    /// Calls that ran, by key.
    pub(super) runs: HashMap<usize, Vec<usize>>,
    /// Body and answer of the first run, by key.
    pub(super) first_answers: HashMap<usize, (u8, Bytes)>,
}

/// Number of calls by outcome, and number of runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub outcomes: BTreeMap<String, u64>,
    pub runs: u64,
}

impl OutcomeCounts {
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        for (outcome, n) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += n;
        }
    }
}

/// Outcomes that a sufficiently long run must reach.
pub const REQUIRED_OUTCOMES: [&str; 4] = [
    "answer",
    "not_run store_unavailable",
    "not_run key_reused",
    "unknown home_lost",
];
