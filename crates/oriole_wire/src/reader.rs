//! Receives the frames of a connection, with a timeout per frame.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::SplitStream;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Interval, MissedTickBehavior, interval};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::codec::FrameCodec;
use crate::error::WireError;
use crate::frame::Frame;

/// Timeout for a frame that has arrived only in part. It is checked once per this interval, so a
/// connection is closed after between one and two times this duration without a complete frame.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// The receiving half of a connection.
pub(crate) struct FrameReader<S> {
    frames: SplitStream<Framed<S, FrameCodec>>,
    /// Set by the codec while a frame has arrived only in part.
    partial_frame: Arc<AtomicBool>,
    ticks: Interval,
    /// Whether the current frame had already arrived in part at the last tick.
    partial_at_last_tick: bool,
    /// Cancelled when an unfinished frame is given up for those of other connections.
    given_up: CancellationToken,
}

impl<S> FrameReader<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    pub fn new(frames: SplitStream<Framed<S, FrameCodec>>, partial_frame: Arc<AtomicBool>) -> Self {
        let mut ticks = interval(FRAME_TIMEOUT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            frames,
            partial_frame,
            ticks,
            partial_at_last_tick: false,
            given_up: CancellationToken::new(),
        }
    }

    /// Ends the connection when `given_up` is cancelled.
    pub fn until_given_up(self, given_up: CancellationToken) -> Self {
        Self { given_up, ..self }
    }

    /// Waits for the next frame; returns `None` after the connection has ended on either side.
    pub async fn next(&mut self, closed: &CancellationToken) -> Result<Option<Frame>, WireError> {
        loop {
            tokio::select! {
                biased;
                () = closed.cancelled() => return Ok(None),
                () = self.given_up.cancelled() => return Err(WireError::UnfinishedFrames),
                next = self.frames.next() => {
                    self.partial_at_last_tick = false;
                    return Ok(next.transpose()?);
                }
                _ = self.ticks.tick() => self.check_progress()?,
            }
        }
    }

    fn check_progress(&mut self) -> Result<(), WireError> {
        let partial = self.partial_frame.load(Ordering::Relaxed);
        if partial && self.partial_at_last_tick {
            return Err(WireError::SlowSender);
        }
        self.partial_at_last_tick = partial;
        Ok(())
    }
}
