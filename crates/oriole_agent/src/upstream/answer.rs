//! Reads an upstream's answer part by part.

use bytes::{Bytes, BytesMut};
use http::{Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::UpstreamError;

/// Longest line of a streamed answer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Largest answer of a plain service, in bytes.
const MAX_PLAIN_ANSWER_BYTES: usize = 1024 * 1024;

/// Consecutive items of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Items {
    /// Number of items.
    pub count: u32,
    /// The items. Token lines each end with a line feed; a plain answer is unchanged.
    pub data: Bytes,
}

/// An upstream's answer, read part by part with [`Answer::next`].
pub struct Answer {
    body: Incoming,
    kind: AnswerKind,
}

enum AnswerKind {
    /// One document; `done` once it was read. `has_length` if its end is marked by a length or a last
    /// chunk, and not by that of the connection.
    Plain { done: bool, has_length: bool },
    /// One JSON line per token.
    Lines(TokenLines),
}

/// Parser state of an answer of one JSON line per token.
struct TokenLines {
    /// Received data that has not been returned yet.
    buf: BytesMut,
    /// Bytes at the start of `buf` that hold no line feed.
    searched: usize,
    /// Expected position of the next token.
    next_position: u64,
    /// Whether the final line was received.
    done: bool,
}

/// The fields of a line that are checked. A token line has a position; the final line has `done`
/// and the count.
#[derive(serde::Deserialize)]
struct TokenLine {
    position: Option<u64>,
    done: Option<bool>,
    count: Option<u64>,
}

impl Answer {
    /// Creates an answer that is one document.
    #[must_use]
    pub fn plain(response: Response<Incoming>) -> Self {
        let headers = response.headers();
        let has_length = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        let kind = AnswerKind::Plain {
            done: false,
            has_length,
        };
        let body = response.into_body();
        Self { body, kind }
    }

    /// Creates an answer of one JSON line per token. Positions start at `resume_from`; a final line
    /// has the position after the last token as its count.
    #[must_use]
    pub fn lines(body: Incoming, resume_from: u64) -> Self {
        let kind = AnswerKind::Lines(TokenLines {
            buf: BytesMut::new(),
            searched: 0,
            next_position: resume_from,
            done: false,
        });
        Self { body, kind }
    }

    /// The next items; `None` if the answer is complete.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if the answer is incomplete or too large.
    pub async fn next(&mut self) -> Result<Option<Items>, UpstreamError> {
        match &mut self.kind {
            AnswerKind::Plain { done: true, .. } => Ok(None),
            AnswerKind::Plain { done, has_length } => {
                *done = true;
                let data = collect(&mut self.body).await?;
                // The upstream may have stopped right after the head.
                if data.is_empty() && !*has_length {
                    return Err(UpstreamError::Incomplete);
                }
                Ok(Some(Items { count: 1, data }))
            }
            AnswerKind::Lines(lines) => lines.next(&mut self.body).await,
        }
    }
}

async fn collect(body: &mut Incoming) -> Result<Bytes, UpstreamError> {
    let mut buf = BytesMut::new();
    while let Some(data) = next_data(body).await? {
        if buf.len() + data.len() > MAX_PLAIN_ANSWER_BYTES {
            return Err(UpstreamError::Incomplete);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, UpstreamError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| UpstreamError::Failed(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads the end of a body, so that its connection can be reused; fails if there is more data.
async fn expect_end(body: &mut Incoming) -> Result<Option<Items>, UpstreamError> {
    match next_data(body).await? {
        None => Ok(None),
        Some(_) => Err(UpstreamError::Incomplete),
    }
}

impl TokenLines {
    async fn next(&mut self, body: &mut Incoming) -> Result<Option<Items>, UpstreamError> {
        loop {
            if let Some(items) = self.take_complete_lines()? {
                return Ok(Some(items));
            }
            if self.done {
                return expect_end(body).await;
            }
            match next_data(body).await? {
                Some(data) => self.buf.extend_from_slice(&data),
                None => return Err(UpstreamError::Incomplete),
            }
        }
    }

    /// Takes all token lines that were received completely, up to the final line.
    fn take_complete_lines(&mut self) -> Result<Option<Items>, UpstreamError> {
        if self.done {
            return Ok(None);
        }
        let mut count = 0;
        let mut taken = 0;
        let mut searched = self.searched;
        while let Some(len) = line_len(&self.buf[taken..], searched) {
            searched = 0;
            let line = &self.buf[taken..taken + len];
            if is_end_line(line, self.next_position)? {
                self.done = true;
                break;
            }
            self.next_position += 1;
            count += 1;
            taken += len + 1;
        }
        self.searched = self.buf.len() - taken;
        if self.searched > MAX_LINE_BYTES {
            return Err(UpstreamError::Incomplete);
        }
        if count == 0 {
            return Ok(None);
        }
        let data = self.buf.split_to(taken).freeze();
        Ok(Some(Items { count, data }))
    }
}

/// Length of the line at the start of `bytes`, whose first `searched` bytes hold no line feed.
fn line_len(bytes: &[u8], searched: usize) -> Option<usize> {
    let len = bytes[searched..].iter().position(|b| *b == b'\n')?;
    Some(searched + len)
}

/// Whether a line is the final line; fails if its position or count is not the expected one.
fn is_end_line(line: &[u8], next_position: u64) -> Result<bool, UpstreamError> {
    let line: TokenLine = serde_json::from_slice(line).map_err(|_| UpstreamError::Incomplete)?;
    if line.done == Some(true) {
        return match line.count {
            Some(count) if count == next_position => Ok(true),
            _ => Err(UpstreamError::Incomplete),
        };
    }
    if line.position == Some(next_position) {
        Ok(false)
    } else {
        Err(UpstreamError::Incomplete)
    }
}
