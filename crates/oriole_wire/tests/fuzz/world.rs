//! Both sides, what is between them, and the oracle.

use std::sync::Arc;

use futures::FutureExt;
use oriole_wire::frame::Body;
use oriole_wire::prelude::*;
use oriole_wire::server::serve_stream;
use tokio::runtime::Runtime;

use crate::common::{Counters, STREAM_BYTES, channel_cfg, lock, open, server_cfg, settle};
use crate::middle::{Id, Middle};
use crate::script::{self, Ending, Script, Scripted};
use crate::{Step, Way};

/// Most exchanges at once that the accepting side takes; further ones are refused.
const MAX_EXCHANGES: usize = 6;

/// Frames that make up the handshake.
const HANDSHAKE: [Way; 3] = [Way::ToServer, Way::ToClient, Way::ToServer];

/// Who makes events of frames.
pub trait Reader: 'static {
    /// Whether it need not give every answer that arrives unharmed.
    const FAULTY: bool = false;

    fn new(exchange: Exchange, id: Id) -> Self;

    /// A frame has reached the connecting side.
    fn arrived(&mut self, _: &Body) {}

    /// The next event, if there is one now.
    fn next(&mut self, closed: bool) -> Option<ExchangeEvent>;
}

/// The exchange as it is.
pub struct Real(Exchange);

impl Reader for Real {
    fn new(exchange: Exchange, _: Id) -> Self {
        Self(exchange)
    }

    fn next(&mut self, _: bool) -> Option<ExchangeEvent> {
        self.0.recv().now_or_never()
    }
}

/// One attempt and what its reader has seen.
struct Slot<R> {
    id: Id,
    script: Script,
    /// Absent once it is over or dropped.
    reader: Option<R>,
    chunks: u8,
    position: u64,
    /// Whether it came to the end that its script has.
    as_scripted: bool,
    left: bool,
}

pub struct World<R> {
    slots: Vec<Slot<R>>,
    channel: Channel,
    middle: Middle,
    /// Whether everything was handed on once and in order so far.
    faithful: bool,
    late: u64,
    counters: Counters,
    runtime: Runtime,
}

impl<R: Reader> World<R> {
    pub fn new() -> Self {
        let counters = Counters::install();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        let (channel, middle) = runtime.block_on(connect());
        Self {
            slots: Vec::new(),
            channel,
            middle,
            faithful: true,
            late: 0,
            counters,
            runtime,
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Open(script) => self.open((self.slots.len() as u64 + 1, 1), script),
            Step::Again(i, script) => self.again(i, script),
            Step::Read(i, n) => self.read(i, n),
            Step::Leave(i) => self.leave(i),
            Step::Deliver(way, n) => self.deliver(way, n),
            Step::Early(way, i) => self.early(way, i),
            Step::Repeat(way, i) => self.repeat(way, i),
            Step::Lose(way, i) => self.lose(way, i),
            Step::Cut(way, bytes) => self.cut(way, bytes),
        }
    }

    /// Hands on and reads all there is, then ends the connection: nothing is left without an end.
    pub fn finish(&mut self) {
        self.drain();
        self.check_late();
        self.check_credit();
        if self.faithful && !R::FAULTY {
            for slot in self.slots.iter().filter(|s| !s.left) {
                assert!(slot.as_scripted, "{:?} of {:?}", slot.id, slot.script);
            }
        }
        self.cut(Way::ToClient, 0);
        self.drain();
        assert!(self.slots.iter().all(|s| s.reader.is_none()));
        assert!(self.channel.is_closed());
    }

    /// Frames of attempts that are over are dropped, and each is counted.
    pub fn check_late(&self) {
        if self.channel.is_closed() {
            return;
        }
        let kinds = ["chunk", "end", "refused", "failed"];
        let counted: u64 = kinds.iter().map(|k| self.counters.late(k)).sum();
        assert_eq!(counted, self.late);
    }

    pub fn check_credit(&self) {
        self.middle.check_credit();
    }

    fn open(&mut self, id: Id, script: Script) {
        let opening = self.channel.open(open(id.0, id.1, script.body()));
        let Ok(exchange) = self.runtime.block_on(opening) else {
            assert!(self.channel.is_closed());
            return;
        };
        self.slots.push(Slot {
            id,
            script,
            reader: Some(R::new(exchange, id)),
            chunks: 0,
            position: 0,
            as_scripted: false,
            left: false,
        });
        self.settle();
    }

    fn again(&mut self, i: usize, script: Script) {
        let Some(i) = i.checked_rem(self.slots.len()) else {
            return;
        };
        let request = self.slots[i].id.0;
        let attempts = self.slots.iter().filter(|s| s.id.0 == request).count();
        self.open((request, attempts as u32 + 1), script);
    }

    fn read(&mut self, i: usize, n: usize) {
        let Some(i) = i.checked_rem(self.slots.len()) else {
            return;
        };
        let closed = self.channel.is_closed();
        let slot = &mut self.slots[i];
        // Dropping an exchange may need the runtime.
        let _inside = self.runtime.enter();
        for _ in 0..n {
            let Some(event) = slot.reader.as_mut().and_then(|r| r.next(closed)) else {
                break;
            };
            slot.take(&event);
        }
        self.settle();
    }

    fn leave(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.slots.len()) else {
            return;
        };
        let _inside = self.runtime.enter();
        self.slots[i].left |= self.slots[i].reader.take().is_some();
        self.settle();
    }

    fn deliver(&mut self, way: Way, n: usize) {
        for _ in 0..n {
            let Some(body) = self.middle.lane(way).take(0) else {
                return;
            };
            self.pass(way, body);
        }
    }

    fn early(&mut self, way: Way, i: usize) {
        if let Some(body) = self.middle.lane(way).take(i) {
            self.faithful = false;
            self.pass(way, body);
        }
    }

    fn repeat(&mut self, way: Way, i: usize) {
        let past = &self.middle.lane(way).past;
        let Some(i) = i.checked_rem(past.len()) else {
            return;
        };
        let body = past[i].clone();
        self.faithful = false;
        self.pass(way, body);
    }

    fn lose(&mut self, way: Way, i: usize) {
        if self.middle.lane(way).take(i).is_some() {
            self.faithful = false;
        }
    }

    fn cut(&mut self, way: Way, bytes: usize) {
        self.faithful = false;
        self.runtime.block_on(self.middle.cut(way, bytes));
    }

    fn pass(&mut self, way: Way, body: Body) {
        if let Way::ToClient = way {
            self.note_arrival(&body);
        }
        self.runtime.block_on(self.middle.pass(way, body));
    }

    fn note_arrival(&mut self, body: &Body) {
        let id = match body {
            Body::Chunk(f) => (f.request, f.attempt),
            Body::End(f) => (f.request, f.attempt),
            Body::Refused(f) => (f.request, f.attempt),
            Body::Failed(f) => (f.request, f.attempt),
            _ => return,
        };
        let mut live = self.slots.iter().filter(|s| s.reader.is_some());
        if !live.any(|s| s.id == id) {
            self.late += 1;
        }
        let readers = self.slots.iter_mut().filter_map(|s| s.reader.as_mut());
        readers.for_each(|r| r.arrived(body));
    }

    /// Hands on and reads until nothing moves any more.
    fn drain(&mut self) {
        loop {
            let before = self.progress();
            self.deliver(Way::ToServer, usize::MAX);
            self.deliver(Way::ToClient, usize::MAX);
            (0..self.slots.len()).for_each(|i| self.read(i, usize::MAX));
            let idle = lock(&self.middle.to_server.kept).is_empty()
                && lock(&self.middle.to_client.kept).is_empty();
            if idle && self.progress() == before {
                return;
            }
        }
    }

    fn progress(&self) -> (usize, usize, usize) {
        let read = self.slots.iter().map(|s| usize::from(s.chunks));
        let over = self.slots.iter().filter(|s| s.reader.is_none());
        (self.middle.to_client.past.len(), read.sum(), over.count())
    }

    fn settle(&self) {
        self.runtime.block_on(settle());
    }
}

impl<R> Slot<R> {
    /// The oracle: whole answer, own answer, or an honest end.
    fn take(&mut self, event: &ExchangeEvent) {
        let (request, attempt) = self.id;
        let all = self.chunks == self.script.chunks;
        match event {
            ExchangeEvent::Chunk {
                position,
                items,
                data,
            } => {
                assert!(!all, "dishonest: more than the answer has");
                assert_eq!(*position, self.position, "dishonest: not the next part");
                let own = (
                    script::items(self.chunks),
                    script::data(request, attempt, self.chunks),
                );
                assert_eq!((*items, data), (own.0, &own.1), "dishonest: not its own");
                self.position += u64::from(*items);
                self.chunks += 1;
                return;
            }
            ExchangeEvent::End { position, .. } => {
                let ending = self.script.ending;
                assert_eq!(ending, Ending::Whole, "dishonest: it has no such end");
                assert!(all, "dishonest: a part is taken for the whole");
                assert_eq!(*position, self.position, "dishonest: another end");
                self.as_scripted = true;
            }
            ExchangeEvent::Refused { .. } => {
                assert_eq!(self.chunks, 0, "dishonest: refused after it ran");
                // Either the script says so, or there were too many exchanges at once.
                self.as_scripted = true;
            }
            ExchangeEvent::Failed { .. } => {
                let ending = self.script.ending;
                let fails = matches!(ending, Ending::Failed | Ending::Dropped);
                self.as_scripted = fails && all;
            }
        }
        self.reader = None;
    }
}

async fn connect() -> (Channel, Middle) {
    let (near, client) = tokio::io::duplex(STREAM_BYTES);
    let (server, far) = tokio::io::duplex(STREAM_BYTES);
    let mut cfg = server_cfg();
    cfg.max_exchanges = MAX_EXCHANGES;
    tokio::spawn(serve_stream(far, cfg, Arc::new(Scripted)));
    let connecting = tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut middle = Middle::new(client, server);
    for way in HANDSHAKE {
        settle().await;
        let body = middle.lane(way).take(0).expect("a frame of the handshake");
        middle.pass(way, body).await;
    }
    let channel = connecting.await.expect("task").expect("handshake");
    (channel, middle)
}
