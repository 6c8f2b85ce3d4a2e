//! Frames of a connection as they arrive, with a bound on how long each may take.

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

/// Longest time without a complete frame while one has begun; twice that at most, since it is
/// looked at in steps of this length.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// The receiving half of a connection.
pub(crate) struct FrameReader<S> {
    frames: SplitStream<Framed<S, FrameCodec>>,
    partial: Arc<AtomicBool>,
    ticks: Interval,
    /// Whether the frame that arrives now had begun at the last tick.
    begun: bool,
}

impl<S> FrameReader<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    pub fn new(frames: SplitStream<Framed<S, FrameCodec>>, partial: Arc<AtomicBool>) -> Self {
        let mut ticks = interval(FRAME_TIMEOUT);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            frames,
            partial,
            ticks,
            begun: false,
        }
    }

    /// The next frame; `None` once the connection has ended on either side.
    pub async fn next(&mut self, closed: &CancellationToken) -> Result<Option<Frame>, WireError> {
        loop {
            tokio::select! {
                biased;
                () = closed.cancelled() => return Ok(None),
                next = self.frames.next() => {
                    self.begun = false;
                    return Ok(next.transpose()?);
                }
                _ = self.ticks.tick() => self.check_progress()?,
            }
        }
    }

    fn check_progress(&mut self) -> Result<(), WireError> {
        let partial = self.partial.load(Ordering::Relaxed);
        if partial && self.begun {
            return Err(WireError::SlowSender);
        }
        self.begun = partial;
        Ok(())
    }
}
