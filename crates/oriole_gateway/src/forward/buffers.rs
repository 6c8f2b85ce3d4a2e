//! Buffers whole responses, charged to the daemon's memory budget.

use std::sync::Arc;

use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use oriole_kernel::bounded_stream::ReadAllowance;
use oriole_memory::prelude::{BlockBuffer, Blocks};

use crate::memory::Holding;
use crate::memory::connection::CallerConnection;

/// Largest response that is buffered in full before the caller gets its head, so that one that
/// breaks off can be retried.
pub const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Why a response was not buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferError {
    /// Its connection broke.
    BrokeOff,
    /// It is larger than [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// The daemon has no memory for it.
    NoMemory,
    /// It has no body, although nothing but the end of its connection says that it is complete.
    Empty,
}

impl BufferError {
    /// The reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BrokeOff => "response broke off",
            Self::TooLarge => "response too large",
            Self::NoMemory => "no memory for response",
            Self::Empty => "response ended with its head",
        }
    }
}

/// A response that was read whole, and the memory that it takes.
pub struct BufferedResponse {
    /// The body.
    pub blocks: Blocks,
    /// Its memory.
    pub holding: Holding,
}

/// Reads a whole body. Each byte extends the allowance of its connection.
///
/// # Errors
///
/// Fails if the connection breaks, the response is too large to buffer, or there is no memory for it.
pub async fn read(
    caller: &Arc<CallerConnection>,
    body: &mut Incoming,
    allowance: &ReadAllowance,
) -> Result<BufferedResponse, BufferError> {
    let holding = caller.open_response().map_err(|_| BufferError::NoMemory)?;
    let mut buf = BlockBuffer::with_length(hyper::body::Body::size_hint(body).exact());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BufferError::BrokeOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        allowance.earn(data.len());
        if buf.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLarge);
        }
        let missing = buf.missing_capacity(data.len());
        if missing > 0 {
            let charged = holding.charge(missing).await;
            charged.map_err(|_| BufferError::NoMemory)?;
        }
        buf.extend(&data);
    }
    Ok(BufferedResponse {
        blocks: buf.freeze(),
        holding,
    })
}
