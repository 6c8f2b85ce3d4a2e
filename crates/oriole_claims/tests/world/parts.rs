//! What the world is made of.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use oriole_claims::home::StoreTarget;
use oriole_claims::partition::{StoreCall, StoreOutcome};
use oriole_claims::prelude::*;
use oriole_types::prelude::*;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Broken {
    #[default]
    Nothing,
    /// The owner writes without comparing, as one that trusts its lease would.
    LeaseOnly,
    /// A store write with no answer is taken for done.
    LostWriteIsDone,
    /// A store write with no answer is taken for not done.
    LostWriteIsNotDone,
    /// An agent's lost answer is taken for a request that was not sent.
    LostAnswerIsFailure,
    /// A new owner does not read the segments.
    SegmentsIgnored,
    /// A home accepts the tickets of the incarnation before it.
    TicketsInherited,
}

/// One choice of the scheduler. Selectors are taken modulo what there is to select from.
#[derive(Clone, Debug)]
pub enum Step {
    Call { key: u8, body: u8, view: u8 },
    Fresh { form: u8, view: u8 },
    Deliver(u16),
    Settle(u8),
    Fault(u16, u8),
    Kill(u8),
    Pause(u8),
    View(u8, u8),
    Advance(u8, u8),
    Outage(bool),
}

#[derive(Clone, Debug)]
pub(super) enum Msg {
    Request {
        ask: usize,
        slot: usize,
        recall: Option<Incarnation>,
    },
    Reply {
        ask: usize,
        end: ClaimOutcome,
    },
    StoreReq {
        agent: (usize, u64),
        target: StoreTarget,
        call: StoreCall,
    },
    StoreOutcome {
        agent: (usize, u64),
        target: StoreTarget,
        end: StoreOutcome,
    },
    LateWrite(StoreCall),
    Run {
        agent: (usize, u64),
        ask: usize,
        key: ClaimKey,
    },
    RunOutcome {
        agent: (usize, u64),
        key: ClaimKey,
        end: RunOutcome,
    },
}

/// Sort of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    Request,
    Reply,
    StoreWrite,
    Run,
}

impl Sort {
    pub(super) fn covers(self, msg: &Msg) -> bool {
        match msg {
            Msg::Request { .. } => self == Self::Request,
            Msg::Reply { .. } => self == Self::Reply,
            Msg::Run { .. } => self == Self::Run,
            Msg::StoreReq { call, .. } => {
                self == Self::StoreWrite && matches!(call, StoreCall::Write { .. })
            }
            Msg::StoreOutcome { .. } | Msg::LateWrite(_) | Msg::RunOutcome { .. } => false,
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
    pub(super) way: ClaimCall,
    pub(super) ask: Option<usize>,
    pub(super) end: Option<CallStep>,
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
    pub(super) runs: HashMap<usize, Vec<usize>>,
    pub(super) first: HashMap<usize, (u8, Bytes)>,
}

/// How often each end was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub ends: BTreeMap<String, u64>,
    pub runs: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        for (end, n) in &other.ends {
            *self.ends.entry(end.clone()).or_default() += n;
        }
    }
}

/// Ends that a long enough run must show.
pub const ENDS: [&str; 4] = [
    "answer",
    "not_run store_unavailable",
    "not_run key_reused",
    "unknown home_lost",
];
