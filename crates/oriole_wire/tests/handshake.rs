//! Tests which handshakes succeed, and that all others close the connection and count the reason.

mod common;

use bytes::Bytes;
use common::*;
use oriole_wire::codec::{FrameCodec, MAX_HANDSHAKE_FRAME_BYTES};
use oriole_wire::error::WireError;
use oriole_wire::frame::{Body, Call, Cancel, Challenge, Hello, PROTOCOL_VERSION, Proof};
use oriole_wire::handshake::{HANDSHAKE_TIMEOUT, MAX_NAME_BYTES};
use oriole_wire::prelude::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Framed;

const OLD: &str = "old-fleet-secret-0";
const NEW: &str = "new-fleet-secret-1";

#[rstest]
#[case::before(&[OLD], &[OLD], true)]
#[case::added_at_one_side(&[OLD], &[OLD, NEW], true)]
#[case::added_at_the_other(&[OLD, NEW], &[OLD], true)]
#[case::swapped_at_one_side(&[NEW, OLD], &[OLD, NEW], true)]
#[case::swapped_at_the_other(&[OLD, NEW], &[NEW, OLD], true)]
#[case::removed_at_one_side(&[NEW], &[NEW, OLD], true)]
#[case::removed_at_the_other(&[NEW, OLD], &[NEW], true)]
#[case::swapped_too_early(&[NEW, OLD], &[OLD], false)]
#[case::removed_too_early(&[OLD, NEW], &[NEW], false)]
#[case::another(&[OLD], &[NEW], false)]
#[tokio::test(start_paused = true)]
async fn handshake_rotated_secret(
    #[case] client_secrets: &[&str],
    #[case] server_secrets: &[&str],
    #[case] accepted: bool,
) {
    let counters = Counters::install();
    let mut cfg = server_cfg();
    cfg.secrets = secrets(server_secrets);
    let (stream, served) = serve(cfg);
    let mut cfg = channel_cfg();
    cfg.secrets = secrets(client_secrets);
    let channel = Channel::connect_over(stream, &cfg).await;
    assert_eq!(channel.is_ok(), accepted);
    if !accepted {
        assert_eq!(served.await.unwrap(), Err(WireError::Unauthenticated));
        assert_eq!(counters.closed_count("unauthenticated"), 1);
    }
}

fn hello() -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        name: "entry-1".into(),
        domain: "north".into(),
        incarnation: 7,
        nonce: Bytes::from_static(&[1; 16]),
        secret_id: secrets(&[SECRET]).primary_id(),
    }
}

#[rstest]
#[case::version(Hello { version: PROTOCOL_VERSION + 1, ..hello() }.into_body(), "malformed")]
#[case::short_nonce(Hello { nonce: Bytes::from_static(b"1"), ..hello() }.into_body(), "malformed")]
#[case::name(Hello { name: "x".repeat(MAX_NAME_BYTES + 1), ..hello() }.into_body(), "malformed")]
#[case::domain(Hello { domain: "x".repeat(MAX_NAME_BYTES + 1), ..hello() }.into_body(), "malformed")]
#[case::secret(Hello { secret_id: 1, ..hello() }.into_body(), "unauthenticated")]
#[case::large(
    Hello { name: "x".repeat(MAX_HANDSHAKE_FRAME_BYTES), ..hello() }.into_body(),
    "oversized"
)]
#[case::open(Body::Open(open(1, 1, vec![])), "malformed")]
#[case::call(Body::Call(Call::default()), "malformed")]
#[case::cancel(Body::Cancel(Cancel::default()), "malformed")]
#[case::challenge(Body::Challenge(Challenge::default()), "malformed")]
#[case::proof(Body::Proof(Proof::default()), "malformed")]
#[tokio::test(start_paused = true)]
async fn handshake_first_frame_refused(#[case] first: Body, #[case] reason: &str) {
    let counters = Counters::install();
    let (stream, served) = serve(server_cfg());
    let mut io = Framed::new(stream, FrameCodec::new());
    send(&mut io, first).await;
    assert_eq!(served.await.unwrap().unwrap_err().reason(), reason);
    assert_eq!(counters.closed_count(reason), 1);
}

trait IntoBody {
    fn into_body(self) -> Body;
}

impl IntoBody for Hello {
    fn into_body(self) -> Body {
        Body::Hello(self)
    }
}

/// Proof that an attacker sends after it has received the challenge.
#[derive(Clone, Copy, Debug)]
enum Attack {
    Zeros,
    Short,
    /// The server's own proof.
    Reflected,
    /// The client's proof of an earlier connection.
    Replayed,
}

#[rstest]
#[case(Attack::Zeros)]
#[case(Attack::Short)]
#[case(Attack::Reflected)]
#[case(Attack::Replayed)]
#[tokio::test(start_paused = true)]
async fn handshake_false_proof_refused(#[case] attack: Attack) {
    let counters = Counters::install();
    let (hello, recorded_proof) = record_handshake().await;
    let (stream, served) = serve(server_cfg());
    let mut io = Framed::new(stream, FrameCodec::new());
    send(&mut io, hello).await;
    let Body::Challenge(challenge) = receive(&mut io).await else {
        panic!("expected a challenge");
    };
    let proof = match attack {
        Attack::Zeros => Bytes::from_static(&[0; 32]),
        Attack::Short => Bytes::from_static(&[0]),
        Attack::Reflected => challenge.proof,
        Attack::Replayed => recorded_proof,
    };
    send(&mut io, Body::Proof(Proof { proof })).await;
    assert_eq!(served.await.unwrap(), Err(WireError::Unauthenticated));
    assert_eq!(counters.closed_count("unauthenticated"), 1);
}

/// Hello and proof of a successful handshake, as an eavesdropper records them.
async fn record_handshake() -> (Body, Bytes) {
    let (near, far) = tokio::io::duplex(STREAM_BYTES);
    let connecting = tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut client = Framed::new(far, FrameCodec::new());
    let (stream, _served) = serve(server_cfg());
    let mut server = Framed::new(stream, FrameCodec::new());
    let hello = receive(&mut client).await;
    send(&mut server, hello.clone()).await;
    send(&mut client, receive(&mut server).await).await;
    let Body::Proof(proof) = receive(&mut client).await else {
        panic!("expected a proof");
    };
    assert!(connecting.await.unwrap().is_ok());
    (hello, proof.proof)
}

/// The handshake fails if a man in the middle changes the client's identity.
#[rstest]
#[case::name(|h: &mut Hello| h.name = "entry-2".into())]
#[case::domain(|h: &mut Hello| h.domain = "south".into())]
#[case::incarnation(|h: &mut Hello| h.incarnation += 1)]
#[tokio::test(start_paused = true)]
async fn handshake_changed_identity_refused(#[case] change: fn(&mut Hello)) {
    let (near, far) = tokio::io::duplex(STREAM_BYTES);
    let _connecting =
        tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut client = Framed::new(far, FrameCodec::new());
    let (stream, served) = serve(server_cfg());
    let mut server = Framed::new(stream, FrameCodec::new());
    let Body::Hello(mut hello) = receive(&mut client).await else {
        panic!("expected a hello");
    };
    change(&mut hello);
    send(&mut server, Body::Hello(hello)).await;
    send(&mut client, receive(&mut server).await).await;
    send(&mut server, receive(&mut client).await).await;
    assert_eq!(served.await.unwrap(), Err(WireError::Unauthenticated));
}

#[rstest]
#[case::wrong_proof(Challenge { nonce: Bytes::from_static(&[2; 16]), ..Challenge::default() })]
#[case::short_nonce(Challenge::default())]
#[case::long_name(Challenge {
    nonce: Bytes::from_static(&[2; 16]),
    name: "x".repeat(MAX_NAME_BYTES + 1),
    ..Challenge::default()
})]
#[tokio::test(start_paused = true)]
async fn handshake_false_challenge_refused(#[case] challenge: Challenge) {
    let (near, far) = tokio::io::duplex(STREAM_BYTES);
    let connecting = tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut client = Framed::new(far, FrameCodec::new());
    receive(&mut client).await;
    send(&mut client, Body::Challenge(challenge)).await;
    assert!(connecting.await.unwrap().is_err());
}

#[rstest]
#[case::nothing(&[])]
#[case::half_a_frame(&[0, 0, 0, 40, 1])]
#[tokio::test(start_paused = true)]
async fn handshake_silence_times_out(#[case] sent_bytes: &[u8]) {
    let counters = Counters::install();
    let begin = tokio::time::Instant::now();
    let (mut stream, served) = serve(server_cfg());
    stream.write_all(sent_bytes).await.unwrap();
    assert_eq!(served.await.unwrap(), Err(WireError::Timeout));
    // Time is paused, so that this is the timeout itself, within the timer's resolution of 1 ms.
    assert_eq!(begin.elapsed().as_secs(), HANDSHAKE_TIMEOUT.as_secs());
    assert_eq!(counters.closed_count("timeout"), 1);
}

#[tokio::test(start_paused = true)]
async fn handshake_silent_server_times_out() {
    let (near, _far) = tokio::io::duplex(STREAM_BYTES);
    let channel = Channel::connect_over(near, &channel_cfg()).await;
    assert_eq!(channel.err(), Some(WireError::Timeout));
}
