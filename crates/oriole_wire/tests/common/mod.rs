//! Helpers of the tests: identities, secrets, metrics counters, frames over in-memory streams.
#![allow(dead_code)]

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, LocalRecorderGuard, Metadata, Recorder, SharedString,
    Unit,
};
use oriole_wire::codec::FrameCodec;
use oriole_wire::frame::{Body, Frame};
use oriole_wire::handshake::{self, Identity};
use oriole_wire::prelude::*;
use oriole_wire::reply::Trailer;
use oriole_wire::server::serve_stream;
use tokio::io::DuplexStream;
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

/// Buffer size of the in-memory streams, in bytes.
pub const STREAM_BYTES: usize = 1 << 20;

pub type Frames = Framed<DuplexStream, FrameCodec>;

pub fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        domain: "north".into(),
        incarnation: 7,
    }
}

pub fn secrets(list: &[&str]) -> FleetSecrets {
    FleetSecrets::new(list).expect("valid secrets")
}

pub const SECRET: &str = "0123456789abcdef";

pub fn server_cfg() -> WireServerConfig {
    WireServerConfig::new(identity("agent-1"), secrets(&[SECRET]))
}

pub fn channel_cfg() -> ChannelConfig {
    ChannelConfig::new(identity("entry-1"), secrets(&[SECRET]))
}

/// Answers a request with the number of chunks in the first byte of its body, and a call with its own
/// payload.
pub struct Echo;

#[async_trait]
impl Handler for Echo {
    async fn exchange(&self, _: &PeerInfo, open: Open, mut reply: Reply) {
        for i in 0..open.body.first().copied().unwrap_or_default() {
            if reply.chunk(1, Bytes::from(vec![i])).await.is_err() {
                return;
            }
        }
        // Fails if the client has cancelled the attempt.
        let _ = reply.end(false, Trailer::default()).await;
    }

    async fn call(&self, _: &PeerInfo, _: &str, payload: Bytes) -> Result<Bytes, String> {
        Ok(payload)
    }
}

/// Serves one side of an in-memory stream. Returns the other side and the task, which returns the
/// result of [`serve_stream`].
pub fn serve(cfg: WireServerConfig) -> (DuplexStream, JoinHandle<Result<(), WireError>>) {
    let (a, b) = tokio::io::duplex(STREAM_BYTES);
    (a, tokio::spawn(serve_stream(b, cfg, Arc::new(Echo))))
}

/// A client after the handshake, whose frames the test sends and receives itself.
pub async fn raw_client(stream: DuplexStream) -> Frames {
    let mut io = Framed::new(stream, FrameCodec::new());
    handshake::connect(&mut io, &identity("entry-1"), &secrets(&[SECRET]))
        .await
        .expect("handshake");
    io
}

/// A channel and its server after the handshake, whose frames the test sends and receives itself.
pub async fn channel_and_raw_server(stream_bytes: usize) -> (Channel, Frames) {
    let (a, b) = tokio::io::duplex(stream_bytes);
    let accepting = tokio::spawn(async move {
        let mut io = Framed::new(b, FrameCodec::new());
        handshake::accept(&mut io, &identity("agent-1"), &secrets(&[SECRET]))
            .await
            .expect("handshake");
        io
    });
    let channel = Channel::connect_over(a, &channel_cfg())
        .await
        .expect("handshake");
    (channel, accepting.await.expect("server task"))
}

pub async fn send(io: &mut Frames, body: Body) {
    io.send(Frame::from(body)).await.expect("frame is sent");
}

pub async fn receive(io: &mut Frames) -> Body {
    let frame = io.next().await.expect("a frame").expect("a valid frame");
    frame.body.expect("a body")
}

pub fn open(request: u64, attempt: u32, body: Vec<u8>) -> Open {
    Open {
        request,
        attempt,
        body: body.into(),
        ..Open::default()
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}

/// Runs all tasks until they are waiting (with paused time).
pub async fn settle() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// Records the metrics counters of this thread until it is dropped.
pub struct Counters {
    counts: Counts,
    _guard: LocalRecorderGuard<'static>,
}

#[derive(Clone, Default)]
struct Counts(Arc<Mutex<HashMap<String, Arc<AtomicU64>>>>);

impl Counters {
    pub fn install() -> Self {
        let counts = Counts::default();
        let recorder: &'static Counts = Box::leak(Box::new(counts.clone()));
        let guard = metrics::set_default_local_recorder(recorder);
        Self {
            counts,
            _guard: guard,
        }
    }

    /// The value of a counter; `name` is followed by the values of its labels, separated by spaces.
    pub fn get(&self, name: &str) -> u64 {
        let counts = self.counts.0.lock().expect("no panic while locked");
        counts.get(name).map_or(0, |n| n.load(Ordering::Relaxed))
    }

    pub fn closed_count(&self, reason: &str) -> u64 {
        self.get(&format!("oriole_wire_closed_total {reason}"))
    }

    pub fn late_count(&self, frame: &str) -> u64 {
        self.get(&format!("oriole_wire_late_frames_total {frame}"))
    }
}

impl Recorder for Counts {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut name = key.name().to_owned();
        for label in key.labels() {
            name = format!("{name} {}", label.value());
        }
        let mut counts = self.0.lock().expect("no panic while locked");
        Counter::from_arc(Arc::clone(counts.entry(name).or_default()))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
