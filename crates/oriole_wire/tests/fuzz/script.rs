//! A handler whose answer is defined by the request's body.

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::prelude::*;
use oriole_wire::reply::{Refusal, Trailer};
use proptest::prelude::*;

/// How the handler ends an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Whole,
    Refused,
    Failed,
    /// The handler drops the reply.
    Dropped,
}

/// The answer to a request: a number of chunks, then an ending.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    pub chunks: u8,
    pub ending: Ending,
}

pub fn arbitrary() -> impl Strategy<Value = Script> {
    let ending = prop_oneof![
        5 => Just(Ending::Whole),
        1 => Just(Ending::Refused),
        1 => Just(Ending::Failed),
        1 => Just(Ending::Dropped),
    ];
    let chunks = prop_oneof![6 => 0..6_u8, 1 => 60..150_u8];
    (chunks, ending).prop_map(|(chunks, ending)| Script {
        chunks: if ending == Ending::Refused { 0 } else { chunks },
        ending,
    })
}

impl Script {
    pub fn body(self) -> Vec<u8> {
        vec![self.chunks, self.ending as u8]
    }

    fn from_body(body: &[u8]) -> Self {
        let ending = match body[1] {
            0 => Ending::Whole,
            1 => Ending::Refused,
            2 => Ending::Failed,
            _ => Ending::Dropped,
        };
        Self {
            chunks: body[0],
            ending,
        }
    }
}

/// Number of items of a chunk; it differs between neighbouring chunks.
pub fn items(i: u8) -> u32 {
    1 + u32::from(i % 3)
}

/// Content of a chunk, unique to the attempt and chunk except that some chunks are empty.
pub fn data(request: u64, attempt: u32, i: u8) -> Bytes {
    if i % 5 == 4 {
        return Bytes::new();
    }
    Bytes::from(format!("{request}/{attempt}/{i};"))
}

/// Answers each request according to the [`Script`] in its body.
pub struct Scripted;

#[async_trait]
impl Handler for Scripted {
    async fn exchange(&self, _: &PeerInfo, open: Open, mut reply: Reply) {
        let script = Script::from_body(&open.body);
        for i in 0..script.chunks {
            let data = data(open.request, open.attempt, i);
            if reply.chunk(items(i), data).await.is_err() {
                return;
            }
        }
        let trailer = Trailer::default();
        // Fails if the client has cancelled the attempt.
        let _ = match script.ending {
            Ending::Whole => reply.end(false, trailer).await,
            Ending::Refused => {
                let refusal = Refusal::new(RefusalReason::UpstreamFull);
                reply.refuse(&refusal, trailer).await
            }
            Ending::Failed => reply.fail(UnknownReason::UpstreamFailed, trailer).await,
            Ending::Dropped => Ok(()),
        };
    }

    async fn call(&self, _: &PeerInfo, _: &str, payload: Bytes) -> Result<Bytes, String> {
        Ok(payload)
    }
}
