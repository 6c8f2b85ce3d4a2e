//! Length-delimited framing with a size limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::frame::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Largest frame of the handshake, in bytes: what a peer may make this process hold before it has
/// proved a secret.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// Encodes and decodes frames, each preceded by its length as four bytes.
///
/// Use it with [`tokio_util::codec::Framed`]. A frame over the size limit or one that cannot be
/// decoded is an error, after which the connection must be closed.
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
    buf: BytesMut,
    partial: Arc<AtomicBool>,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl FrameCodec {
    /// A codec with the size limit of the protocol.
    #[must_use]
    pub fn new() -> Self {
        Self::with_limit(MAX_FRAME_BYTES)
    }

    /// A codec for the handshake, after which [`FrameCodec::raise_frame_limit`] allows larger frames.
    #[must_use]
    pub fn for_handshake() -> Self {
        Self::with_limit(MAX_HANDSHAKE_FRAME_BYTES)
    }

    /// Allows frames up to the size limit of the protocol, once the peer is authenticated.
    pub fn raise_frame_limit(&mut self) {
        self.inner.set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Tells whether a frame has begun and is not complete, also while the codec is in use.
    pub(crate) fn partial(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.partial)
    }

    fn with_limit(max: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(max)
            .new_codec();
        Self {
            inner,
            buf: BytesMut::new(),
            partial: Arc::default(),
        }
    }

    fn oversized(&self) -> FrameError {
        let max = self.inner.max_frame_length();
        WireError::Oversized { max }.into()
    }

    fn decode_data(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        let had_bytes = !src.is_empty();
        match self.inner.decode(src) {
            Ok(Some(data)) => {
                self.partial.store(false, Ordering::Relaxed);
                Ok(Some(data))
            }
            Ok(None) => {
                if had_bytes {
                    self.partial.store(true, Ordering::Relaxed);
                }
                Ok(None)
            }
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => Err(self.oversized()),
            Err(e) => Err(e.into()),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        if frame.encoded_len() > self.inner.max_frame_length() {
            return Err(self.oversized());
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
        let Some(data) = self.decode_data(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(data.freeze())
            .map_err(|_| WireError::Malformed("frame does not decode"))?;
        Ok(Some(frame))
    }
}

/// An error of the codec: one of the protocol, or one of the connection below it.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The protocol is violated.
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
