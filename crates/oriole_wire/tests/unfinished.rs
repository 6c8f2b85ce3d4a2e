//! Which unfinished frames are received and given up, without a network.

use std::time::Duration;

use oriole_wire::unfinished::{FrameAdmission, FrameId, STALLED_FRAME, UnfinishedFrames};

const MAX: usize = 100;

fn begin(frames: &mut UnfinishedFrames, len: usize, now: Duration) -> (FrameId, Vec<FrameId>) {
    match frames.begin(len, now) {
        FrameAdmission::Granted(id, given_up) => (id, given_up),
        FrameAdmission::Refused => panic!("refused"),
    }
}

#[test]
fn begin_within_limit_gives_up_none() {
    let mut frames = UnfinishedFrames::new(MAX);
    let (first, _) = begin(&mut frames, 60, Duration::ZERO);
    let (_, given_up) = begin(&mut frames, 40, 9 * STALLED_FRAME);
    assert!(given_up.is_empty());
    assert_eq!(frames.held(), MAX);
    frames.finish(first);
    frames.finish(first);
    assert_eq!(frames.held(), 40);
}

#[test]
fn begin_over_limit_gives_up_longest_stalled() {
    let mut frames = UnfinishedFrames::new(MAX);
    let (first, _) = begin(&mut frames, 50, Duration::ZERO);
    let (second, _) = begin(&mut frames, 50, Duration::ZERO);
    frames.on_progress(first, STALLED_FRAME / 2);
    let (_, given_up) = begin(&mut frames, 20, 2 * STALLED_FRAME);
    assert_eq!(given_up, [second]);
    assert_eq!(frames.held(), 70);
}

/// Frames that make progress are not given up, and a refusal gives up none.
#[test]
fn begin_over_limit_without_enough_stalled_is_refused() {
    let mut frames = UnfinishedFrames::new(MAX);
    begin(&mut frames, 30, Duration::ZERO);
    let (second, _) = begin(&mut frames, 70, Duration::ZERO);
    frames.on_progress(second, STALLED_FRAME);
    assert_eq!(frames.begin(31, STALLED_FRAME), FrameAdmission::Refused);
    assert_eq!(frames.held(), MAX);
}

#[test]
fn begin_larger_than_limit_is_refused() {
    let mut frames = UnfinishedFrames::new(MAX);
    assert_eq!(
        frames.begin(MAX + 1, Duration::ZERO),
        FrameAdmission::Refused
    );
}
