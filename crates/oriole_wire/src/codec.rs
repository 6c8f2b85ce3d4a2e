//! Length-delimited framing with a size limit.

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::frame::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Encodes and decodes frames, each preceded by its length as four bytes.
///
/// Use it with [`tokio_util::codec::Framed`]. A frame over the size limit or one that cannot be
/// decoded is an error, after which the connection must be closed.
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
    buf: BytesMut,
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
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        let buf = BytesMut::new();
        Self { inner, buf }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), FrameError> {
        if frame.encoded_len() > MAX_FRAME_BYTES {
            return Err(oversized().into());
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
        let data = match self.inner.decode(src) {
            Ok(Some(data)) => data,
            Ok(None) => return Ok(None),
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                return Err(oversized().into());
            }
            Err(e) => return Err(e.into()),
        };
        let frame = Frame::decode(data.freeze())
            .map_err(|_| WireError::Malformed("frame does not decode"))?;
        Ok(Some(frame))
    }
}

fn oversized() -> WireError {
    WireError::Oversized {
        max: MAX_FRAME_BYTES,
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
