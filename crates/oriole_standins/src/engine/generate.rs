//! Generates the token stream of one request.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oriole_types::catalog::Priority;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::slots::{Slot, Slots};
use super::{Core, EngineConfig, lock};
use crate::health::{Health, RequestGuard};
use crate::server::{self, Body};

/// Length of the stream, in tokens, if a request states none.
const DEFAULT_MAX_TOKENS: u32 = 32;

/// Body of `POST /v1/generate`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Identifier of the request.
    #[serde(default)]
    pub request_id: u64,
    /// Number of this attempt at the request.
    #[serde(default)]
    pub attempt: u32,
    /// Prompt; it determines the tokens.
    pub prompt: String,
    /// Length of the whole stream, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Priority in the queue for a slot.
    #[serde(default)]
    pub priority: Priority,
    /// Position of the first token to send; the caller already has those before it.
    #[serde(default)]
    pub resume_from: u64,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identifier of the request.
    pub request_id: u64,
    /// Number of the attempt to cancel.
    pub attempt: u32,
}

/// One line of the response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamLine {
    /// A token.
    Token {
        /// Position in the whole stream, from 0.
        position: u64,
        /// Text of the token.
        token: String,
    },
    /// The closing line of a complete stream.
    Done {
        /// Always true.
        done: bool,
        /// Length of the whole stream, tokens before `resume_from` included.
        count: u64,
    },
}

/// The token at a position of the stream for a prompt.
#[must_use]
pub fn token(prompt: &str, position: u64) -> String {
    format!(
        "t{:08x}",
        xxh3_64_with_seed(prompt.as_bytes(), position) as u32
    )
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// What a request holds while it is in flight; `cancel` releases it.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    stop: CancellationToken,
    guard: Mutex<RequestGuard>,
    /// `None` while the request waits for a slot.
    slot: Mutex<Option<Slot>>,
}

impl ActiveRequest {
    /// Ends the stream and frees the slot at once.
    pub(crate) fn cancel(&self) {
        self.stop.cancel();
        lock(&self.guard).abandon();
        lock(&self.slot).take();
    }

    fn complete(&self) {
        lock(&self.guard).complete();
        lock(&self.slot).take();
    }
}

impl Core {
    pub(crate) async fn generate(&self, body: &[u8]) -> Response<Body> {
        let Ok(req) = serde_json::from_slice::<Generate>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "the body is no generate request");
        };
        let Ok(guard) = self.health.begin_request(&req.prompt) else {
            lock(&self.prefix).clear();
            return server::no_answer().await;
        };
        lock(&self.load).sample(&self.health.view(), self.slots.waiting());
        let active = Arc::new(ActiveRequest {
            stop: CancellationToken::new(),
            guard: Mutex::new(guard),
            slot: Mutex::new(None),
        });
        self.register(&req, &active);
        let prefix_cached = lock(&self.prefix).touch(&req.prompt);
        let stream_state = TokenStream {
            cfg: self.cfg.clone(),
            health: self.health.clone(),
            slots: self.slots.clone(),
            active: CancelOnDrop(active),
            next_position: req.resume_from,
            prefix_cached,
            stage: Stage::Start,
            req,
        };
        let frames = stream::unfold(stream_state, TokenStream::next_chunk);
        Response::new(StreamBody::new(frames).boxed())
    }

    fn register(&self, req: &Generate, active: &Arc<ActiveRequest>) {
        let mut active_requests = lock(&self.active_requests);
        // Drop the requests that have ended: no stream refers to them any more.
        active_requests.retain(|_, active| Arc::strong_count(active) > 1);
        active_requests.insert((req.request_id, req.attempt), active.clone());
    }
}

/// Cancels a request when its stream is dropped, for example because the client disconnected.
#[derive(Debug)]
struct CancelOnDrop(Arc<ActiveRequest>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for a slot and processes the prompt.
    Start,
    /// Sends tokens.
    Stream,
    /// The closing line has been sent.
    End,
}

/// State of one response stream; the connection pulls it chunk by chunk.
#[derive(Debug)]
struct TokenStream {
    cfg: EngineConfig,
    health: Health,
    slots: Slots,
    active: CancelOnDrop,
    req: Generate,
    next_position: u64,
    prefix_cached: bool,
    stage: Stage,
}

type Chunk = Result<Frame<Bytes>, Infallible>;

impl TokenStream {
    async fn next_chunk(mut self) -> Option<(Chunk, Self)> {
        let stop = self.active.0.stop.clone();
        let chunk = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            chunk = self.chunk() => chunk,
        };
        chunk.map(|text| (Ok(Frame::data(Bytes::from(text))), self))
    }

    async fn chunk(&mut self) -> Option<String> {
        match self.stage {
            Stage::Start => self.start().await?,
            Stage::Stream => {}
            Stage::End => return None,
        }
        let mut text = String::new();
        let end = u64::from(self.req.max_tokens);
        let chunk_end = (self.next_position + u64::from(self.cfg.tokens_per_chunk.max(1))).min(end);
        self.simulate_work(
            self.cfg.token_time * (chunk_end.saturating_sub(self.next_position) as u32),
        )
        .await;
        while self.next_position < chunk_end {
            let token = token(&self.req.prompt, self.next_position);
            writeln!(
                text,
                "{{\"position\":{},\"token\":\"{token}\"}}",
                self.next_position
            )
            .ok()?;
            self.next_position += 1;
        }
        if self.next_position >= end {
            // Free the slot before the client can see that the stream is complete.
            self.active.0.complete();
            writeln!(text, "{{\"done\":true,\"count\":{end}}}").ok()?;
            self.stage = Stage::End;
        }
        Some(text)
    }

    async fn start(&mut self) -> Option<()> {
        let slot = self.slots.acquire(self.req.priority).await?;
        *lock(&self.active.0.slot) = Some(slot);
        if !self.prefix_cached {
            self.simulate_work(self.cfg.prefill_time).await;
        }
        self.stage = Stage::Stream;
        Some(())
    }

    async fn simulate_work(&self, time: std::time::Duration) {
        self.health.wait_while_stalled().await;
        if !time.is_zero() {
            let end = Instant::now() + time * self.health.slowdown();
            tokio::time::sleep_until(end).await;
        }
        self.health.wait_while_stalled().await;
    }
}
