//! Length-delimited framing with a size limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::frame::Frame;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of a frame during the handshake, in bytes. It limits the memory that a peer can
/// occupy before it is authenticated.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// Encodes and decodes frames, each preceded by its length in four bytes.
///
/// Use it with [`tokio_util::codec::Framed`]. It fails on a frame that exceeds the size limit or cannot
/// be decoded; the connection must be closed then.
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
    buf: BytesMut,
    /// Whether the first bytes of a frame have arrived, but not all.
    partial_frame: Arc<AtomicBool>,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl FrameCodec {
    /// Creates a codec with the size limit of an authenticated connection.
    #[must_use]
    pub fn new() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }

    /// Creates a codec for the handshake; afterwards [`FrameCodec::raise_frame_limit`] must be called.
    #[must_use]
    pub fn for_handshake() -> Self {
        Self::with_limit(MAX_HANDSHAKE_FRAME_BYTES)
    }

    /// Raises the size limit after the peer has been authenticated.
    pub fn raise_frame_limit(&mut self) {
        self.inner.set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// A shared flag that is set while a frame has arrived only in part.
    pub(crate) fn partial_frame_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.partial_frame)
    }

    fn with_limit(max: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(max)
            .new_codec();
        Self {
            inner,
            buf: BytesMut::new(),
            partial_frame: Arc::default(),
        }
    }

    fn oversized_error(&self) -> FrameError {
        let max = self.inner.max_frame_length();
        WireError::Oversized { max }.into()
    }

    fn decode_frame_bytes(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        let had_bytes = !src.is_empty();
        match self.inner.decode(src) {
            Ok(Some(data)) => {
                self.partial_frame.store(false, Ordering::Relaxed);
                Ok(Some(data))
            }
            Ok(None) => {
                if had_bytes {
                    self.partial_frame.store(true, Ordering::Relaxed);
                }
                Ok(None)
            }
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => Err(self.oversized_error()),
            Err(e) => Err(e.into()),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        if frame.encoded_len() > self.inner.max_frame_length() {
            return Err(self.oversized_error());
        }
        frame
            .encode(&mut self.buf)
            .map_err(|_| WireError::Malformed("frame does not encode"))?;
        self.inner.encode(self.buf.split().freeze(), dst)?;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(data) = self.decode_frame_bytes(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(data.freeze())
            .map_err(|_| WireError::Malformed("frame does not decode"))?;
        Ok(Some(frame))
    }
}

/// An error of the codec or of the underlying connection.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// A frame violates the protocol.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl From<FrameError> for WireError {
    fn from(e: FrameError) -> Self {
        match e {
            FrameError::Wire(e) => e,
            FrameError::Io(_) => Self::Closed,
        }
    }
}
