//! Bounds the memory that frames take before they have arrived completely.
//!
//! [`UnfinishedFrames`] decides: events and the time go in, decisions come out. The connections of a
//! server share a [`FrameLedger`], which carries the decisions out.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_kernel::clock::Clock;
use tokio_util::sync::CancellationToken;

use crate::channel::lock;

/// Size up to which a frame is not counted, in bytes. The number of connections bounds the memory of
/// such frames; most requests and all heartbeats are smaller.
pub const SMALL_FRAME_BYTES: usize = 16 * 1024;

/// Sum of the sizes of counted frames, in bytes: 32 frames of the maximum size, an eighth of the
/// default memory of a VM.
pub const MAX_UNFINISHED_BYTES: usize = 64 * 1024 * 1024;

/// Time without progress after which an unfinished frame may be given up for another one. A lost
/// packet is sent again within some 0.3 s.
pub const STALLED_FRAME: Duration = Duration::from_secs(1);

/// Number of a frame; unique within a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrameId(u64);

/// What is done with a frame that begins to arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameAdmission {
    /// The frame is received. These others are given up, whose connections are to be closed.
    Granted(FrameId, Vec<FrameId>),
    /// There is no room, and its connection is to be closed. No frame is given up.
    Refused,
}

#[derive(Debug)]
struct Unfinished {
    len: usize,
    progress: Duration,
}

/// The unfinished frames of a server.
#[derive(Debug)]
pub struct UnfinishedFrames {
    max_bytes: usize,
    held: usize,
    frames: BTreeMap<FrameId, Unfinished>,
    next_id: u64,
}

impl UnfinishedFrames {
    /// Creates the state without frames.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held: 0,
            frames: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Sum of the sizes of all frames, in bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// A frame of this size begins to arrive.
    pub fn begin(&mut self, len: usize, now: Duration) -> FrameAdmission {
        let Some(stalled) = self.to_give_up(len, now) else {
            return FrameAdmission::Refused;
        };
        for id in &stalled {
            self.finish(*id);
        }
        let id = FrameId(self.next_id);
        self.next_id += 1;
        self.held += len;
        self.frames.insert(id, Unfinished { len, progress: now });
        FrameAdmission::Granted(id, stalled)
    }

    /// The frames to be given up for one of this size, longest stalled first; `None` if that does not
    /// suffice.
    fn to_give_up(&self, len: usize, now: Duration) -> Option<Vec<FrameId>> {
        let mut stalled: Vec<_> = self
            .frames
            .iter()
            .filter(|(_, f)| f.progress + STALLED_FRAME <= now)
            .map(|(id, f)| (f.progress, *id, f.len))
            .collect();
        stalled.sort_unstable();
        let mut held = self.held;
        let mut given_up = Vec::new();
        let mut stalled = stalled.into_iter();
        while held + len > self.max_bytes {
            let (_, id, freed) = stalled.next()?;
            held -= freed;
            given_up.push(id);
        }
        Some(given_up)
    }

    /// Bytes of a frame have arrived.
    pub fn on_progress(&mut self, id: FrameId, now: Duration) {
        if let Some(frame) = self.frames.get_mut(&id) {
            frame.progress = now;
        }
    }

    /// A frame is complete, or its connection has ended.
    pub fn finish(&mut self, id: FrameId) {
        if let Some(frame) = self.frames.remove(&id) {
            self.held -= frame.len;
        }
    }
}

/// The unfinished frames of a server's connections.
pub(crate) struct FrameLedger {
    clock: Clock,
    state: Mutex<LedgerState>,
}

struct LedgerState {
    frames: UnfinishedFrames,
    /// By frame; cancelled when the frame is given up.
    given_up: HashMap<FrameId, CancellationToken>,
}

impl FrameLedger {
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(LedgerState {
                frames: UnfinishedFrames::new(max_bytes),
                given_up: HashMap::new(),
            }),
        })
    }
}

/// The frame that a connection is receiving, as the ledger counts it.
pub(crate) struct CountedFrame {
    ledger: Arc<FrameLedger>,
    current: Option<FrameId>,
    given_up: CancellationToken,
}

impl CountedFrame {
    pub fn new(ledger: Arc<FrameLedger>) -> Self {
        Self {
            ledger,
            current: None,
            given_up: CancellationToken::new(),
        }
    }

    /// Cancelled when a frame of the connection was given up.
    pub fn given_up(&self) -> CancellationToken {
        self.given_up.clone()
    }

    /// A frame begins to arrive; returns whether there is room for it.
    pub fn begin(&mut self, len: usize) -> bool {
        if len <= SMALL_FRAME_BYTES {
            return true;
        }
        let now = self.ledger.clock.now();
        let mut state = lock(&self.ledger.state);
        let FrameAdmission::Granted(id, given_up) = state.frames.begin(len, now) else {
            return false;
        };
        for other in given_up {
            if let Some(token) = state.given_up.remove(&other) {
                token.cancel();
            }
        }
        state.given_up.insert(id, self.given_up.clone());
        self.current = Some(id);
        true
    }

    /// Bytes of the frame have arrived.
    pub fn progress(&self) {
        if let Some(id) = self.current {
            let now = self.ledger.clock.now();
            lock(&self.ledger.state).frames.on_progress(id, now);
        }
    }

    /// The frame is complete.
    pub fn finish(&mut self) {
        if let Some(id) = self.current.take() {
            let mut state = lock(&self.ledger.state);
            state.frames.finish(id);
            state.given_up.remove(&id);
        }
    }
}

impl Drop for CountedFrame {
    fn drop(&mut self) {
        self.finish();
    }
}
