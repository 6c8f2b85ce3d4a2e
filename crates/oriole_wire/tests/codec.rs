//! Guards against a codec that panics on arbitrary bytes, loses frames, or accepts or allocates more
//! than its size limit.

mod common;

use bytes::{Bytes, BytesMut};
use oriole_wire::codec::{FrameCodec, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES};
use oriole_wire::error::WireError;
use oriole_wire::frame::{Body, Chunk, Credit, End, Frame, Open};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use tokio_util::codec::{Decoder, Encoder};

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another one.
const DEFAULT_CASES: u32 = 10_000;

fn run_cases<S: Strategy>(strategy: &S, test: impl Fn(S::Value)) {
    let cases = std::env::var("ORIOLE_FUZZ_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(strategy, |value| {
        test(value);
        Ok(())
    });
    assert_eq!(run.map_err(|e| e.to_string()), Ok(()));
}

fn any_frame() -> impl Strategy<Value = Frame> {
    let data = prop::collection::vec(any::<u8>(), 0..200).prop_map(Bytes::from);
    let ids = (any::<u64>(), any::<u32>());
    let chunk = (ids, any::<u64>(), any::<u32>(), data.clone()).prop_map(
        |((request, attempt), position, items, data)| {
            Body::Chunk(Chunk {
                request,
                attempt,
                position,
                items,
                data,
            })
        },
    );
    let open = (any::<u64>(), ".{0,20}", data).prop_map(|(request, key, body)| {
        Body::Open(Open {
            request,
            key,
            body,
            ..Open::default()
        })
    });
    let credit = (any::<u64>(), any::<u32>()).prop_map(|(request, chunks)| {
        Body::Credit(Credit {
            request,
            chunks,
            attempt: 1,
        })
    });
    let end = (any::<u64>(), any::<u64>()).prop_map(|(position, checksum)| {
        Body::End(End {
            position,
            checksum,
            ..End::default()
        })
    });
    prop_oneof![chunk, open, credit, end].prop_map(Frame::from)
}

fn encode(frames: &[Frame]) -> BytesMut {
    let mut buf = BytesMut::new();
    let mut codec = FrameCodec::new();
    for frame in frames {
        codec
            .encode(frame.clone(), &mut buf)
            .expect("within the size limit");
    }
    buf
}

/// Decodes bytes that arrive in pieces. Returns the frames up to the first error, and that error.
fn decode(data: &[u8], piece: usize) -> (Vec<Frame>, Option<WireError>) {
    let mut codec = FrameCodec::new();
    let mut buf = BytesMut::new();
    let mut frames = Vec::new();
    for piece in data.chunks(piece) {
        buf.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buf) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(e) => return (frames, Some(e.into())),
            }
        }
    }
    (frames, None)
}

#[test]
fn codec_arbitrary_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    run_cases(&(bytes, 1..50_usize), |(bytes, piece)| {
        decode(&bytes, piece);
    });
}

/// Arbitrary bytes after a correct length, so that they are decoded as a message.
#[test]
fn codec_arbitrary_messages() {
    let message = prop::collection::vec(any::<u8>(), 0..100);
    run_cases(&message, |message| {
        let mut data = u32::try_from(message.len()).unwrap().to_be_bytes().to_vec();
        data.extend(&message);
        let (frames, error) = decode(&data, data.len());
        assert_eq!(frames.len() + usize::from(error.is_some()), 1);
    });
}

#[test]
fn codec_frames_in_any_pieces() {
    let frames = prop::collection::vec(any_frame(), 0..6);
    run_cases(&(frames, 1..80_usize), |(frames, piece)| {
        assert_eq!(decode(&encode(&frames), piece), (frames, None));
    });
}

/// A stream that is cut at any byte yields a prefix of its frames and no error.
#[test]
fn codec_truncated_stream() {
    let frames = prop::collection::vec(any_frame(), 1..6);
    run_cases(&(frames, any::<prop::sample::Index>()), |(frames, cut)| {
        let data = encode(&frames);
        let (decoded, error) = decode(&data[..cut.index(data.len())], 64);
        assert_eq!(error, None);
        assert!(decoded.len() < frames.len());
        assert_eq!(decoded, frames[..decoded.len()]);
    });
}

/// A changed byte does not cause a panic and does not affect frames before it.
#[test]
fn codec_flipped_byte() {
    let frames = prop::collection::vec(any_frame(), 1..6);
    let change = (any::<prop::sample::Index>(), 1..=u8::MAX);
    run_cases(&(frames, change), |(frames, (at, flip))| {
        let mut data = encode(&frames);
        let at = at.index(data.len());
        let intact_count = decode(&data[..at], 64).0.len();
        data[at] ^= flip;
        let (decoded, _) = decode(&data, 64);
        assert_eq!(decoded[..intact_count], frames[..intact_count]);
    });
}

#[rstest]
#[case::handshake(FrameCodec::for_handshake(), MAX_HANDSHAKE_FRAME_BYTES)]
#[case::authenticated(FrameCodec::new(), MAX_FRAME_BYTES)]
fn codec_oversized(#[case] mut codec: FrameCodec, #[case] max: usize) {
    let mut buf = BytesMut::from(&(max as u32 + 1).to_be_bytes()[..]);
    let error = codec.decode(&mut buf).expect_err("larger than the limit");
    assert_eq!(WireError::from(error), WireError::Oversized { max });
    // No memory was reserved for the announced length.
    assert!(buf.capacity() < max);
    let frame = Frame::from(Body::Open(common::open(1, 1, vec![0; max])));
    assert!(codec.encode(frame, &mut BytesMut::new()).is_err());
}

#[test]
fn codec_limit_lifted() {
    let mut codec = FrameCodec::for_handshake();
    codec.raise_frame_limit();
    let frame = Frame::from(Body::Open(common::open(
        1,
        1,
        vec![0; 2 * MAX_HANDSHAKE_FRAME_BYTES],
    )));
    let mut buf = BytesMut::new();
    codec.encode(frame.clone(), &mut buf).unwrap();
    assert_eq!(codec.decode(&mut buf).unwrap(), Some(frame));
}
