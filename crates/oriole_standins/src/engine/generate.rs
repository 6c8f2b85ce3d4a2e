//! Generation of one token stream.

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
use crate::health::{Health, Running};
use crate::server::{self, Body};

/// Tokens of a request that states no limit.
const DEFAULT_MAX_TOKENS: u32 = 32;

/// Body of `POST /v1/generate`. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Number of the request.
    #[serde(default)]
    pub request_id: u64,
    /// Attempt at the request.
    #[serde(default)]
    pub attempt: u32,
    /// Prompt.
    pub prompt: String,
    /// Length of the whole stream, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Urgency.
    #[serde(default)]
    pub priority: Priority,
    /// Position of the first token to send.
    #[serde(default)]
    pub resume_from: u64,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Number of the request.
    pub request_id: u64,
    /// Attempt at the request.
    pub attempt: u32,
}

/// One line of the answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamLine {
    /// A token.
    Token {
        /// Position in the whole stream, from 0.
        position: u64,
        /// Text.
        token: String,
    },
    /// The end of a whole stream.
    Done {
        /// Always true.
        done: bool,
        /// Length of the whole stream, tokens before `resume_from` included.
        count: u64,
    },
}

/// The token at a position of the stream that belongs to a prompt.
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

/// One request in flight, as `cancel` sees it.
#[derive(Debug)]
pub(crate) struct Run {
    stop: CancellationToken,
    running: Mutex<Running>,
    slot: Mutex<Option<Slot>>,
}

impl Run {
    /// Frees what the request holds, at once, and ends its stream.
    pub(crate) fn cancel(&self) {
        self.stop.cancel();
        lock(&self.running).abandon();
        lock(&self.slot).take();
    }

    fn complete(&self) {
        lock(&self.running).complete();
        lock(&self.slot).take();
    }
}

impl Core {
    pub(crate) async fn generate(&self, body: &[u8]) -> Response<Body> {
        let Ok(req) = serde_json::from_slice::<Generate>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "the body is no generate request");
        };
        let Ok(running) = self.health.begin(&req.prompt) else {
            lock(&self.prefix).clear();
            return server::no_answer().await;
        };
        lock(&self.load).sample(&self.health.view(), self.slots.waiting());
        let run = Arc::new(Run {
            stop: CancellationToken::new(),
            running: Mutex::new(running),
            slot: Mutex::new(None),
        });
        self.register(&req, &run);
        let cached = lock(&self.prefix).touch(&req.prompt);
        let tokens = Tokens {
            cfg: self.cfg.clone(),
            health: self.health.clone(),
            slots: self.slots.clone(),
            held: Held(run),
            next: req.resume_from,
            cached,
            step: Step::Start,
            req,
        };
        let frames = stream::unfold(tokens, Tokens::next);
        Response::new(StreamBody::new(frames).boxed())
    }

    fn register(&self, req: &Generate, run: &Arc<Run>) {
        let mut runs = lock(&self.runs);
        // What has ended holds no other reference.
        runs.retain(|_, run| Arc::strong_count(run) > 1);
        runs.insert((req.request_id, req.attempt), run.clone());
    }
}

/// Frees what a request holds when its stream is dropped, as when its reader left.
#[derive(Debug)]
struct Held(Arc<Run>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Start,
    Stream,
    End,
}

/// State of one answer; the connection pulls it chunk by chunk.
#[derive(Debug)]
struct Tokens {
    cfg: EngineConfig,
    health: Health,
    slots: Slots,
    held: Held,
    req: Generate,
    next: u64,
    cached: bool,
    step: Step,
}

type Chunk = Result<Frame<Bytes>, Infallible>;

impl Tokens {
    async fn next(mut self) -> Option<(Chunk, Self)> {
        let stop = self.held.0.stop.clone();
        let chunk = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            chunk = self.chunk() => chunk,
        };
        chunk.map(|text| (Ok(Frame::data(Bytes::from(text))), self))
    }

    async fn chunk(&mut self) -> Option<String> {
        match self.step {
            Step::Start => self.start().await?,
            Step::Stream => {}
            Step::End => return None,
        }
        let mut text = String::new();
        let end = u64::from(self.req.max_tokens);
        let upto = (self.next + u64::from(self.cfg.tokens_per_chunk.max(1))).min(end);
        self.work(self.cfg.token_time * (upto.saturating_sub(self.next) as u32))
            .await;
        while self.next < upto {
            let token = token(&self.req.prompt, self.next);
            writeln!(text, "{{\"position\":{},\"token\":\"{token}\"}}", self.next).ok()?;
            self.next += 1;
        }
        if self.next >= end {
            // The slot is free before the reader can know that the stream is whole.
            self.held.0.complete();
            writeln!(text, "{{\"done\":true,\"count\":{end}}}").ok()?;
            self.step = Step::End;
        }
        Some(text)
    }

    async fn start(&mut self) -> Option<()> {
        let slot = self.slots.take(self.req.priority).await?;
        *lock(&self.held.0.slot) = Some(slot);
        if !self.cached {
            self.work(self.cfg.prefill_time).await;
        }
        self.step = Step::Stream;
        Some(())
    }

    async fn work(&self, time: std::time::Duration) {
        self.health.unstalled().await;
        if !time.is_zero() {
            let end = Instant::now() + time * self.health.slowdown();
            tokio::time::sleep_until(end).await;
        }
        self.health.unstalled().await;
    }
}
