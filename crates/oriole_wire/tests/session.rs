//! Snapshot of the frames of a session: handshake, exchange, call and cancel.

mod common;

use std::fmt::Write as _;

use common::*;
use oriole_wire::frame::{Body, Open};
use oriole_wire::prelude::*;
use tokio_util::codec::Framed;

use oriole_wire::codec::FrameCodec;

/// A line of the snapshot. Random and secret values are replaced by their length.
fn log_line(from: &str, body: &Body) -> String {
    let text = match body {
        Body::Hello(f) => format!(
            "version={} name={} domain={} incarnation={} nonce=<{}>",
            f.version,
            f.name,
            f.domain,
            f.incarnation,
            f.nonce.len()
        ),
        Body::Challenge(f) => format!(
            "name={} incarnation={} nonce=<{}> proof=<{}>",
            f.name,
            f.incarnation,
            f.nonce.len(),
            f.proof.len()
        ),
        Body::Proof(f) => format!("proof=<{}>", f.proof.len()),
        Body::Open(f) => format_open(f),
        Body::Chunk(f) => format!(
            "{}/{} position={} items={} data={:?}",
            f.request, f.attempt, f.position, f.items, f.data
        ),
        Body::End(f) => format!(
            "{}/{} position={} checksum={:016x}",
            f.request, f.attempt, f.position, f.checksum
        ),
        Body::Credit(f) => format!("{}/{} chunks={}", f.request, f.attempt, f.chunks),
        Body::Cancel(f) => format!("{}/{}", f.request, f.attempt),
        Body::Call(f) => format!("{} service={} payload={:?}", f.call, f.service, f.payload),
        Body::CallReply(f) => format!("{} error={:?} payload={:?}", f.call, f.error, f.payload),
        Body::Refused(_) | Body::Failed(_) => "unexpected".into(),
    };
    format!("{from} {} {text}", body.kind())
}

fn format_open(f: &Open) -> String {
    format!("{}/{} body={:?}", f.request, f.attempt, f.body)
}

/// Forwards the next frame of one side and logs it.
async fn relay(log: &mut String, name: &str, from: &mut Frames, to: &mut Frames) {
    let body = receive(from).await;
    writeln!(log, "{}", log_line(name, &body)).unwrap();
    send(to, body).await;
}

#[tokio::test(start_paused = true)]
async fn session_handshake_exchange_call_and_cancel() {
    let (near, far) = tokio::io::duplex(STREAM_BYTES);
    let connecting = tokio::spawn(async move { Channel::connect_over(near, &channel_cfg()).await });
    let mut client = Framed::new(far, FrameCodec::new());
    let (stream, _served) = serve(server_cfg());
    let mut server = Framed::new(stream, FrameCodec::new());
    let mut log = String::new();

    relay(&mut log, "entry", &mut client, &mut server).await;
    relay(&mut log, "agent", &mut server, &mut client).await;
    relay(&mut log, "entry", &mut client, &mut server).await;
    let channel = connecting.await.unwrap().unwrap();

    let mut exchange = channel.open(open(1, 1, vec![17])).await.unwrap();
    relay(&mut log, "entry", &mut client, &mut server).await;
    for _ in 0..18 {
        relay(&mut log, "agent", &mut server, &mut client).await;
        exchange.recv().await;
    }
    drop(exchange);
    relay(&mut log, "entry", &mut client, &mut server).await;

    let wait = std::time::Duration::from_secs(1);
    let caller = channel.clone();
    let call = tokio::spawn(async move { caller.call("loads", "now".into(), wait).await });
    relay(&mut log, "entry", &mut client, &mut server).await;
    relay(&mut log, "agent", &mut server, &mut client).await;
    assert_eq!(call.await.unwrap(), Ok("now".into()));

    drop(channel.open(open(2, 1, vec![0])).await.unwrap());
    relay(&mut log, "entry", &mut client, &mut server).await;
    relay(&mut log, "entry", &mut client, &mut server).await;
    insta::assert_snapshot!(log);
}
