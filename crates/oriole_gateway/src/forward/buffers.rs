//! Memory of responses that are buffered before the caller gets their head.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use oriole_kernel::bounded_stream::ReadAllowance;

/// Largest response that is buffered in full before the caller gets its head, so that one that
/// breaks off can be retried.
pub const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Part of each response that is buffered whatever the others take, so that the large responses of a
/// faulty upstream hold up no small one.
const UNSHARED_BYTES: usize = 16 * 1024;

/// Most bytes of all responses together, beyond [`UNSHARED_BYTES`] of each.
const MAX_SHARED_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that the buffered responses of a daemon take from their common memory.
#[derive(Clone, Debug, Default)]
pub struct ResponseBuffers {
    shared: Arc<AtomicUsize>,
}

/// Why a response was not buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferError {
    /// Its connection broke.
    BrokeOff,
    /// It is larger than [`MAX_RESPONSE_BYTES`], or the responses of the daemon take too much memory.
    TooLarge,
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
            Self::Empty => "response ended with its head",
        }
    }
}

/// A response's bytes, which count as buffered until dropped.
struct Buffer {
    bytes: BytesMut,
    shared: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    fn shared_len(&self) -> usize {
        self.bytes.len().saturating_sub(UNSHARED_BYTES)
    }

    /// Appends bytes; returns whether there is memory for them.
    fn try_extend(&mut self, data: &[u8]) -> bool {
        if self.bytes.len() + data.len() > MAX_RESPONSE_BYTES {
            return false;
        }
        let shared_len = self.shared_len();
        self.bytes.extend_from_slice(data);
        let taken = self.shared_len() - shared_len;
        self.shared.fetch_add(taken, Ordering::Relaxed) + taken <= MAX_SHARED_BYTES
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.shared.fetch_sub(self.shared_len(), Ordering::Relaxed);
    }
}

impl ResponseBuffers {
    /// Reads a whole body. Its memory counts until the last copy of the bytes is dropped, and each byte
    /// extends the allowance of its connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the response is too large to buffer.
    pub async fn read(
        &self,
        body: &mut Incoming,
        allowance: &ReadAllowance,
    ) -> Result<Bytes, BufferError> {
        let mut buf = Buffer {
            bytes: BytesMut::new(),
            shared: self.shared.clone(),
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BufferError::BrokeOff)?;
            if let Ok(data) = frame.into_data() {
                allowance.earn(data.len());
                if !buf.try_extend(&data) {
                    return Err(BufferError::TooLarge);
                }
            }
        }
        Ok(Bytes::from_owner(buf))
    }
}
