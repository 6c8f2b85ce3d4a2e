//! Somebody between the two sides, through whose hands all frames go.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use futures::StreamExt;
use oriole_wire::codec::FrameCodec;
use oriole_wire::exchange::WINDOW_CHUNKS;
use oriole_wire::frame::{Body, Frame};
use tokio::io::{AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio_util::codec::{Encoder, FramedRead};

use crate::Way;
use crate::common::{lock, settle};

pub type Id = (u64, u32);

/// Frames of one way.
pub struct Lane {
    /// Arrived and not handed on.
    pub kept: Arc<Mutex<VecDeque<Body>>>,
    /// Handed on.
    pub past: Vec<Body>,
    to: WriteHalf<DuplexStream>,
}

pub struct Middle {
    pub to_server: Lane,
    pub to_client: Lane,
    /// Chunks that each attempt was allowed, by its opening and by credit handed on.
    allowed: HashMap<Id, u64>,
    /// Chunks that came from each attempt.
    sent: Arc<Mutex<HashMap<Id, u64>>>,
}

impl Middle {
    /// Stands between a client's and a server's stream.
    pub fn new(client: DuplexStream, server: DuplexStream) -> Self {
        let (from_client, to_client) = tokio::io::split(client);
        let (from_server, to_server) = tokio::io::split(server);
        let sent = Arc::default();
        Self {
            to_server: Lane::new(from_client, to_server, Arc::clone(&sent)),
            to_client: Lane::new(from_server, to_client, Arc::clone(&sent)),
            allowed: HashMap::new(),
            sent,
        }
    }

    pub fn lane(&mut self, way: Way) -> &mut Lane {
        match way {
            Way::ToServer => &mut self.to_server,
            Way::ToClient => &mut self.to_client,
        }
    }

    /// Hands a frame on.
    pub async fn pass(&mut self, way: Way, body: Body) {
        let (id, chunks) = match &body {
            Body::Open(f) => ((f.request, f.attempt), WINDOW_CHUNKS),
            Body::Credit(f) => ((f.request, f.attempt), f.chunks),
            _ => ((0, 0), 0),
        };
        *self.allowed.entry(id).or_default() += u64::from(chunks);
        let lane = self.lane(way);
        lane.past.push(body.clone());
        // A side that has closed takes nothing.
        let _ = lane.to.write_all(&encode(body)).await;
        settle().await;
    }

    /// Hands on the first bytes of a frame, then ends the connection on both sides.
    pub async fn cut(&mut self, way: Way, bytes: usize) {
        let lane = self.lane(way);
        let next = lock(&lane.kept).pop_front();
        if let Some(body) = next {
            let data = encode(body);
            let part = &data[..bytes % data.len()];
            let _ = lane.to.write_all(part).await;
        }
        let _ = self.to_client.to.shutdown().await;
        let _ = self.to_server.to.shutdown().await;
        settle().await;
    }

    pub fn check_credit(&self) {
        for (id, sent) in lock(&self.sent).iter() {
            let allowed = self.allowed.get(id).copied().unwrap_or_default();
            assert!(*sent <= allowed, "{id:?} sent {sent} of {allowed}");
        }
    }
}

impl Lane {
    fn new(
        from: ReadHalf<DuplexStream>,
        to: WriteHalf<DuplexStream>,
        sent: Arc<Mutex<HashMap<Id, u64>>>,
    ) -> Self {
        let kept: Arc<Mutex<VecDeque<Body>>> = Arc::default();
        let arrived = Arc::clone(&kept);
        tokio::spawn(async move {
            let mut frames = FramedRead::new(from, FrameCodec::new());
            while let Some(Ok(Frame { body: Some(body) })) = frames.next().await {
                if let Body::Chunk(f) = &body {
                    *lock(&sent).entry((f.request, f.attempt)).or_default() += 1;
                }
                lock(&arrived).push_back(body);
            }
        });
        Self {
            kept,
            past: Vec::new(),
            to,
        }
    }

    /// Takes the frame at a place, counted round.
    pub fn take(&self, i: usize) -> Option<Body> {
        let mut kept = lock(&self.kept);
        let i = i.checked_rem(kept.len())?;
        kept.remove(i)
    }
}

fn encode(body: Body) -> BytesMut {
    let mut buf = BytesMut::new();
    FrameCodec::new()
        .encode(Frame::from(body), &mut buf)
        .expect("a frame that came in goes out");
    buf
}
