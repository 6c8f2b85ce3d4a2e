//! Client, server, the proxy between them, and the oracle that checks what readers return.

use std::sync::Arc;

use futures::FutureExt;
use oriole_wire::frame::Body;
use oriole_wire::prelude::*;
use oriole_wire::server::serve_stream;
use tokio::runtime::Runtime;

use crate::common::{Counters, STREAM_BYTES, channel_cfg, lock, open, server_cfg, settle};
use crate::proxy::{AttemptId, Proxy};
use crate::script::{self, Ending, Script, Scripted};
use crate::{Direction, Step};

/// Maximum number of concurrent exchanges at the server; it refuses others.
const MAX_EXCHANGES: usize = 6;

/// Directions of the handshake's frames, in order.
const HANDSHAKE_DIRECTIONS: [Direction; 3] = [
    Direction::ToServer,
    Direction::ToClient,
    Direction::ToServer,
];

/// Produces the events of an exchange: [`Exchange`] or a faulty implementation.
pub trait Reader: 'static {
    /// Whether it may fail to return an answer that was forwarded without disturbance.
    const FAULTY: bool = false;

    fn new(exchange: Exchange, id: AttemptId) -> Self;

    /// Called for each frame that is forwarded to the client.
    fn on_frame(&mut self, _: &Body) {}

    /// Returns the next event if one is available. `closed` tells whether the connection has ended.
    fn next(&mut self, closed: bool) -> Option<ExchangeEvent>;
}

/// The implementation under test.
pub struct ExchangeReader(Exchange);

impl Reader for ExchangeReader {
    fn new(exchange: Exchange, _: AttemptId) -> Self {
        Self(exchange)
    }

    fn next(&mut self, _: bool) -> Option<ExchangeEvent> {
        self.0.recv().now_or_never()
    }
}

/// An attempt and the events its reader has returned.
struct AttemptState<R> {
    id: AttemptId,
    script: Script,
    /// `None` after the exchange has ended or was dropped.
    reader: Option<R>,
    /// Number of chunks returned.
    chunks: u8,
    position: u64,
    /// Whether it ended as its script says.
    ended_as_scripted: bool,
    /// Whether the test dropped the exchange before its end.
    dropped: bool,
}

pub struct Harness<R> {
    attempts: Vec<AttemptState<R>>,
    channel: Channel,
    proxy: Proxy,
    /// Whether every frame so far was forwarded once and in order.
    undisturbed: bool,
    /// Number of frames forwarded to the client after their exchange had ended.
    late_frames: u64,
    counters: Counters,
    runtime: Runtime,
}

impl<R: Reader> Harness<R> {
    pub fn new() -> Self {
        let counters = Counters::install();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime");
        let (channel, proxy) = runtime.block_on(connect());
        Self {
            attempts: Vec::new(),
            channel,
            proxy,
            undisturbed: true,
            late_frames: 0,
            counters,
            runtime,
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Open(script) => self.open((self.attempts.len() as u64 + 1, 1), script),
            Step::Retry(i, script) => self.retry(i, script),
            Step::Read(i, n) => self.read(i, n),
            Step::DropExchange(i) => self.drop_exchange(i),
            Step::Deliver(direction, n) => self.deliver(direction, n),
            Step::DeliverOutOfOrder(direction, i) => self.deliver_out_of_order(direction, i),
            Step::Repeat(direction, i) => self.repeat(direction, i),
            Step::DropFrame(direction, i) => self.drop_frame(direction, i),
            Step::Cut(direction, bytes) => self.cut(direction, bytes),
        }
    }

    /// Forwards and reads everything, then closes the connection. Checks that every exchange ends, and
    /// that it ends as scripted if all frames were forwarded once and in order.
    pub fn finish(&mut self) {
        self.drain();
        self.check_late_frames();
        self.check_granted_credit();
        if self.undisturbed && !R::FAULTY {
            for attempt in self.attempts.iter().filter(|a| !a.dropped) {
                assert!(
                    attempt.ended_as_scripted,
                    "{:?} of {:?}",
                    attempt.id, attempt.script
                );
            }
        }
        self.cut(Direction::ToClient, 0);
        self.drain();
        assert!(self.attempts.iter().all(|a| a.reader.is_none()));
        assert!(self.channel.is_closed());
    }

    /// Checks that frames of attempts that have ended are counted in the metrics.
    pub fn check_late_frames(&self) {
        if self.channel.is_closed() {
            return;
        }
        let kinds = ["chunk", "end", "refused", "failed"];
        let counted: u64 = kinds.iter().map(|k| self.counters.late_count(k)).sum();
        assert_eq!(counted, self.late_frames);
    }

    pub fn check_granted_credit(&self) {
        self.proxy.check_granted_credit();
    }

    fn open(&mut self, id: AttemptId, script: Script) {
        let opening = self.channel.open(open(id.0, id.1, script.body()));
        let Ok(exchange) = self.runtime.block_on(opening) else {
            assert!(self.channel.is_closed());
            return;
        };
        self.attempts.push(AttemptState {
            id,
            script,
            reader: Some(R::new(exchange, id)),
            chunks: 0,
            position: 0,
            ended_as_scripted: false,
            dropped: false,
        });
        self.settle();
    }

    fn retry(&mut self, i: usize, script: Script) {
        let Some(i) = i.checked_rem(self.attempts.len()) else {
            return;
        };
        let request = self.attempts[i].id.0;
        let attempt_count = self.attempts.iter().filter(|a| a.id.0 == request).count();
        self.open((request, attempt_count as u32 + 1), script);
    }

    fn read(&mut self, i: usize, n: usize) {
        let Some(i) = i.checked_rem(self.attempts.len()) else {
            return;
        };
        let closed = self.channel.is_closed();
        let attempt = &mut self.attempts[i];
        // Dropping an exchange can spawn a task, which needs the runtime.
        let _runtime_context = self.runtime.enter();
        for _ in 0..n {
            let Some(event) = attempt.reader.as_mut().and_then(|r| r.next(closed)) else {
                break;
            };
            attempt.check_event(&event);
        }
        self.settle();
    }

    fn drop_exchange(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.attempts.len()) else {
            return;
        };
        let _runtime_context = self.runtime.enter();
        self.attempts[i].dropped |= self.attempts[i].reader.take().is_some();
        self.settle();
    }

    fn deliver(&mut self, direction: Direction, n: usize) {
        for _ in 0..n {
            let Some(body) = self.proxy.queue(direction).take(0) else {
                return;
            };
            self.forward(direction, body);
        }
    }

    fn deliver_out_of_order(&mut self, direction: Direction, i: usize) {
        if let Some(body) = self.proxy.queue(direction).take(i) {
            self.undisturbed = false;
            self.forward(direction, body);
        }
    }

    fn repeat(&mut self, direction: Direction, i: usize) {
        let forwarded = &self.proxy.queue(direction).forwarded;
        let Some(i) = i.checked_rem(forwarded.len()) else {
            return;
        };
        let body = forwarded[i].clone();
        self.undisturbed = false;
        self.forward(direction, body);
    }

    fn drop_frame(&mut self, direction: Direction, i: usize) {
        if self.proxy.queue(direction).take(i).is_some() {
            self.undisturbed = false;
        }
    }

    fn cut(&mut self, direction: Direction, bytes: usize) {
        self.undisturbed = false;
        self.runtime.block_on(self.proxy.cut(direction, bytes));
    }

    fn forward(&mut self, direction: Direction, body: Body) {
        if let Direction::ToClient = direction {
            self.on_frame_to_client(&body);
        }
        self.runtime.block_on(self.proxy.forward(direction, body));
    }

    fn on_frame_to_client(&mut self, body: &Body) {
        let id = match body {
            Body::Chunk(f) => (f.request, f.attempt),
            Body::End(f) => (f.request, f.attempt),
            Body::Refused(f) => (f.request, f.attempt),
            Body::Failed(f) => (f.request, f.attempt),
            _ => return,
        };
        let mut live = self.attempts.iter().filter(|a| a.reader.is_some());
        if !live.any(|a| a.id == id) {
            self.late_frames += 1;
        }
        let readers = self.attempts.iter_mut().filter_map(|a| a.reader.as_mut());
        readers.for_each(|r| r.on_frame(body));
    }

    /// Forwards and reads until there is no more progress.
    fn drain(&mut self) {
        loop {
            let before = self.progress();
            self.deliver(Direction::ToServer, usize::MAX);
            self.deliver(Direction::ToClient, usize::MAX);
            (0..self.attempts.len()).for_each(|i| self.read(i, usize::MAX));
            let idle = lock(&self.proxy.to_server.pending).is_empty()
                && lock(&self.proxy.to_client.pending).is_empty();
            if idle && self.progress() == before {
                return;
            }
        }
    }

    fn progress(&self) -> (usize, usize, usize) {
        let read = self.attempts.iter().map(|a| usize::from(a.chunks));
        let over = self.attempts.iter().filter(|a| a.reader.is_none());
        (
            self.proxy.to_client.forwarded.len(),
            read.sum(),
            over.count(),
        )
    }

    fn settle(&self) {
        self.runtime.block_on(settle());
    }
}

impl<R> AttemptState<R> {
    /// The oracle: checks that the chunks are a prefix of the attempt's own answer, and that a complete
    /// answer, a refusal or a failure is only reported where it is true.
    fn check_event(&mut self, event: &ExchangeEvent) {
        let (request, attempt) = self.id;
        let all_received = self.chunks == self.script.chunks;
        match event {
            ExchangeEvent::Chunk {
                position,
                items,
                data,
            } => {
                assert!(!all_received, "dishonest: more chunks than the answer has");
                assert_eq!(*position, self.position, "dishonest: not the next position");
                let expected = (
                    script::items(self.chunks),
                    script::data(request, attempt, self.chunks),
                );
                assert_eq!(
                    (*items, data),
                    (expected.0, &expected.1),
                    "dishonest: not the attempt's own chunk"
                );
                self.position += u64::from(*items);
                self.chunks += 1;
                return;
            }
            ExchangeEvent::End { position, .. } => {
                let ending = self.script.ending;
                assert_eq!(
                    ending,
                    Ending::Whole,
                    "dishonest: the answer is not complete"
                );
                assert!(all_received, "dishonest: chunks are missing");
                assert_eq!(*position, self.position, "dishonest: wrong end position");
                self.ended_as_scripted = true;
            }
            ExchangeEvent::Refused { .. } => {
                assert_eq!(self.chunks, 0, "dishonest: refused after the first chunk");
                // Either as scripted, or because of too many concurrent exchanges.
                self.ended_as_scripted = true;
            }
            ExchangeEvent::Failed { .. } => {
                let ending = self.script.ending;
                let fails = matches!(ending, Ending::Failed | Ending::Dropped);
                self.ended_as_scripted = fails && all_received;
            }
        }
        self.reader = None;
    }
}

async fn connect() -> (Channel, Proxy) {
    let (near, client) = tokio::io::duplex(STREAM_BYTES);
    let (server, far) = tokio::io::duplex(STREAM_BYTES);
    let mut cfg = server_cfg();
    cfg.max_exchanges = MAX_EXCHANGES;
    tokio::spawn(serve_stream(far, cfg, Arc::new(Scripted)));
    let connecting = tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut proxy = Proxy::new(client, server);
    for direction in HANDSHAKE_DIRECTIONS {
        settle().await;
        let body = proxy
            .queue(direction)
            .take(0)
            .expect("a frame of the handshake");
        proxy.forward(direction, body).await;
    }
    let channel = connecting.await.expect("task").expect("handshake");
    (channel, proxy)
}
