//! Collects a complete answer as one JSON document.

use bytes::{Bytes, BytesMut};
use oriole_types::catalog::PoolKind;
use serde::{Deserialize, Serialize};

/// Largest answer that is collected, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Collects the items of an answer.
pub(crate) struct CollectedAnswer {
    kind: PoolKind,
    buf: BytesMut,
}

#[derive(Deserialize)]
struct TokenLine {
    token: String,
}

/// Response body when a model engine's answer is not streamed.
#[derive(Serialize)]
struct TextBody {
    text: String,
    tokens: u64,
}

impl CollectedAnswer {
    /// Creates an empty answer from a pool of this kind.
    pub(crate) fn new(kind: PoolKind) -> Self {
        Self {
            kind,
            buf: BytesMut::new(),
        }
    }

    /// Adds items; `false` if the answer would become too large.
    pub(crate) fn add(&mut self, data: &[u8]) -> bool {
        if self.buf.len() + data.len() > MAX_ANSWER_BYTES {
            return false;
        }
        self.buf.extend_from_slice(data);
        true
    }

    /// The document; `None` if the items do not have the form that this kind of pool sends.
    pub(crate) fn document(self) -> Option<Bytes> {
        match self.kind {
            PoolKind::Service => Some(self.buf.freeze()),
            PoolKind::Engine => join_tokens(&self.buf),
        }
    }
}

/// Joins a model engine's token lines to one text; `None` if a line is malformed.
fn join_tokens(lines: &[u8]) -> Option<Bytes> {
    let mut text = String::new();
    let mut tokens = 0;
    for line in lines.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        let line: TokenLine = serde_json::from_slice(line).ok()?;
        text.push_str(&line.token);
        tokens += 1;
    }
    let body = serde_json::to_vec(&TextBody { text, tokens }).ok()?;
    Some(body.into())
}
