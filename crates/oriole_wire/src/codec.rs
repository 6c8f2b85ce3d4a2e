//! Length-delimited framing with a size limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::frame::Frame;
use crate::unfinished::CountedFrame;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of a frame during the handshake, in bytes. It limits the memory that a peer can
/// occupy before it is authenticated.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// Size of the length that precedes a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes and decodes frames, each preceded by its length in four bytes.
///
/// Use it with [`tokio_util::codec::Framed`]. It fails on a frame that exceeds the size limit or cannot
/// be decoded; the connection must be closed then.
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
    buf: BytesMut,
    /// Whether the first bytes of a frame have arrived, but not all.
    partial_frame: Arc<AtomicBool>,
    /// Whether the length of a frame was received, but not the whole frame.
    in_frame: bool,
    /// Bytes of the frame that had arrived when it was last decoded.
    received: usize,
    /// Counts unfinished frames; `None` if they are not limited together.
    counted: Option<CountedFrame>,
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

    /// Counts frames that have arrived only in part from now on.
    pub(crate) fn count_unfinished(&mut self, counted: CountedFrame) {
        self.counted = Some(counted);
    }

    fn with_limit(max: usize) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(max)
            .new_codec();
        Self {
            inner,
            buf: BytesMut::new(),
            partial_frame: Arc::default(),
            in_frame: false,
            received: 0,
            counted: None,
        }
    }

    fn oversized_error(&self) -> FrameError {
        let max = self.inner.max_frame_length();
        WireError::Oversized { max }.into()
    }

    /// Counts a frame when its length has arrived, and refuses it if there is no room.
    fn count_partial_frame(&mut self, src: &BytesMut) -> Result<(), FrameError> {
        if self.in_frame {
            if src.len() > self.received
                && let Some(counted) = &self.counted
            {
                counted.progress();
            }
            self.received = src.len();
            return Ok(());
        }
        let Some((len, received)) = src.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(());
        };
        let len = u32::from_be_bytes(*len) as usize;
        if received.len() >= len || len > self.inner.max_frame_length() {
            return Ok(());
        }
        self.in_frame = true;
        self.received = received.len();
        let counted = self.counted.as_mut();
        if counted.is_none_or(|counted| counted.begin(len)) {
            return Ok(());
        }
        Err(WireError::UnfinishedFrames.into())
    }

    fn decode_frame_bytes(&mut self, src: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
        let had_bytes = !src.is_empty();
        self.count_partial_frame(src)?;
        match self.inner.decode(src) {
            Ok(Some(data)) => {
                self.partial_frame.store(false, Ordering::Relaxed);
                self.in_frame = false;
                if let Some(counted) = &mut self.counted {
                    counted.finish();
                }
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
