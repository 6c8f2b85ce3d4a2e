//! A proxy between client and server that receives every frame and forwards it on request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use futures::StreamExt;
use oriole_wire::codec::FrameCodec;
use oriole_wire::exchange::WINDOW_CHUNKS;
use oriole_wire::frame::{Body, Frame};
use tokio::io::{AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio_util::codec::{Encoder, FramedRead};

use crate::Direction;
use crate::common::{lock, settle};

/// Request and attempt.
pub type AttemptId = (u64, u32);

/// The frames of one direction.
pub struct FrameQueue {
    /// Received, but not yet forwarded.
    pub pending: Arc<Mutex<VecDeque<Body>>>,
    /// Already forwarded.
    pub forwarded: Vec<Body>,
    output: WriteHalf<DuplexStream>,
}

pub struct Proxy {
    pub to_server: FrameQueue,
    pub to_client: FrameQueue,
    /// Number of chunks that the server may send, by attempt: the initial window and forwarded credit.
    granted_chunks: HashMap<AttemptId, u64>,
    /// Number of chunks received from the server, by attempt.
    sent_chunks: Arc<Mutex<HashMap<AttemptId, u64>>>,
}

impl Proxy {
    /// Creates the proxy between the client's and the server's stream.
    pub fn new(client: DuplexStream, server: DuplexStream) -> Self {
        let (from_client, to_client) = tokio::io::split(client);
        let (from_server, to_server) = tokio::io::split(server);
        let sent_chunks = Arc::default();
        Self {
            to_server: FrameQueue::new(from_client, to_server, Arc::clone(&sent_chunks)),
            to_client: FrameQueue::new(from_server, to_client, Arc::clone(&sent_chunks)),
            granted_chunks: HashMap::new(),
            sent_chunks,
        }
    }

    pub fn queue(&mut self, direction: Direction) -> &mut FrameQueue {
        match direction {
            Direction::ToServer => &mut self.to_server,
            Direction::ToClient => &mut self.to_client,
        }
    }

    /// Forwards a frame.
    pub async fn forward(&mut self, direction: Direction, body: Body) {
        let (id, chunks) = match &body {
            Body::Open(f) => ((f.request, f.attempt), WINDOW_CHUNKS),
            Body::Credit(f) => ((f.request, f.attempt), f.chunks),
            _ => ((0, 0), 0),
        };
        *self.granted_chunks.entry(id).or_default() += u64::from(chunks);
        let queue = self.queue(direction);
        queue.forwarded.push(body.clone());
        // Fails if the receiving side has closed the connection.
        let _ = queue.output.write_all(&encode(body)).await;
        settle().await;
    }

    /// Forwards the first bytes of the next frame, then closes the connection on both sides.
    pub async fn cut(&mut self, direction: Direction, bytes: usize) {
        let queue = self.queue(direction);
        let next = lock(&queue.pending).pop_front();
        if let Some(body) = next {
            let data = encode(body);
            let part = &data[..bytes % data.len()];
            let _ = queue.output.write_all(part).await;
        }
        let _ = self.to_client.output.shutdown().await;
        let _ = self.to_server.output.shutdown().await;
        settle().await;
    }

    /// Checks that the server has not sent more chunks than it had credit for.
    pub fn check_granted_credit(&self) {
        for (id, sent_chunks) in lock(&self.sent_chunks).iter() {
            let granted_chunks = self.granted_chunks.get(id).copied().unwrap_or_default();
            assert!(
                *sent_chunks <= granted_chunks,
                "{id:?} sent {sent_chunks} chunks with credit for {granted_chunks}"
            );
        }
    }
}

impl FrameQueue {
    fn new(
        from: ReadHalf<DuplexStream>,
        output: WriteHalf<DuplexStream>,
        sent_chunks: Arc<Mutex<HashMap<AttemptId, u64>>>,
    ) -> Self {
        let pending: Arc<Mutex<VecDeque<Body>>> = Arc::default();
        let received = Arc::clone(&pending);
        tokio::spawn(async move {
            let mut frames = FramedRead::new(from, FrameCodec::new());
            while let Some(Ok(Frame { body: Some(body) })) = frames.next().await {
                if let Body::Chunk(f) = &body {
                    *lock(&sent_chunks)
                        .entry((f.request, f.attempt))
                        .or_default() += 1;
                }
                lock(&received).push_back(body);
            }
        });
        Self {
            pending,
            forwarded: Vec::new(),
            output,
        }
    }

    /// Takes the frame at index `i`, modulo the length.
    pub fn take(&self, i: usize) -> Option<Body> {
        let mut pending = lock(&self.pending);
        let i = i.checked_rem(pending.len())?;
        pending.remove(i)
    }
}

fn encode(body: Body) -> BytesMut {
    let mut buf = BytesMut::new();
    FrameCodec::new()
        .encode(Frame::from(body), &mut buf)
        .expect("a received frame can be encoded");
    buf
}
