//! Callers that read slowly. Their upstream cuts off a response that remains unread, and crashes if it
//! holds too much, so the daemon reads ahead of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use oriole_fleet::prelude::*;
use oriole_gateway::forward::read_ahead::{ReadAhead, ReadAheadBody};
use oriole_gateway::gateway::Gateway;
use oriole_gateway::memory::Memory;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

use crate::fake::FakeDialect;
use crate::harness::{Harness, route, settings, start_with_upstreams};

const TIMEOUT: Duration = Duration::from_secs(20);

const HEAD: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";

/// An upstream that streams `events` events of 1 KB and then ends the stream properly. Also returns how
/// many it could write, with small socket buffers.
async fn streaming_upstream(events: usize) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    SockRef::from(&listener).set_send_buffer_size(8192).unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(Mutex::new(0));
    let count = written.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(HEAD.as_bytes()).await;
                for i in 1..=events {
                    let event = event(i);
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    if stream.write_all(chunk.as_bytes()).await.is_err() {
                        return;
                    }
                    *count.lock().unwrap() += 1;
                }
                let _ = stream.write_all(b"0\r\n\r\n").await;
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    });
    (address, written)
}

fn event(i: usize) -> String {
    format!("id: {i}\ndata: {}\n\n", "x".repeat(1000))
}

/// Sends a request from a socket that can hold little.
async fn request(harness: &Harness) -> TcpStream {
    let began = Instant::now();
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stream = socket.connect(harness.callers()).await.unwrap();
        let req =
            "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: s\r\nContent-Length: 2\r\n\r\nhi";
        stream.write_all(req.as_bytes()).await.unwrap();
        let mut status = [0; 12];
        let read = timeout(TIMEOUT, stream.read_exact(&mut status)).await;
        read.unwrap().unwrap();
        if status.ends_with(b"200") {
            return stream;
        }
        assert!(began.elapsed() < TIMEOUT, "the daemon did not become ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn stream_route() -> Route {
    Route {
        timeout: Duration::from_secs(15),
        ..route(RouteKind::Stream)
    }
}

/// What was read ahead of a caller got lost or out of order. The stream is larger than the sockets'
/// buffers, which hold some 3 MB.
#[tokio::test]
async fn events_read_ahead_arrive_whole_and_in_order() {
    let events = 5000;
    let (address, _) = streaming_upstream(events).await;
    let harness = start_with_upstreams(stream_route(), &[address]).await;
    let mut caller = request(&harness).await;
    // Long enough to fill the buffers, and less than the kernel's limit of 1.5 s for closed windows.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while !answer.ends_with(b"\r\n0\r\n\r\n") {
        let len = timeout(TIMEOUT, caller.read(&mut buf))
            .await
            .unwrap()
            .unwrap();
        assert!(len > 0, "the stream broke off");
        answer.extend_from_slice(&buf[..len]);
    }
    assert_eq!(
        events_of(&answer),
        (1..=events).map(event).collect::<String>()
    );
    drop(caller);
    harness.wait_until_nothing_is_held().await;
}

/// The data of a chunked answer.
fn events_of(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    let (_, mut rest) = text.split_once("\r\n\r\n").unwrap();
    let mut events = String::new();
    while let Some((size, later)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        events.push_str(&later[..size]);
        rest = &later[size + 2..];
    }
    events
}

/// A caller that takes nothing held up its upstream until the route's timeout. The kernel may find out
/// first, since it gives up a connection whose peer acknowledges nothing for 1.5 s.
#[tokio::test]
async fn caller_that_takes_nothing_is_cut_off() {
    let (address, written) = streaming_upstream(100_000).await;
    let harness = start_with_upstreams(stream_route(), &[address]).await;
    let mut caller = request(&harness).await;
    let lines = harness.log.lines("s", "broken").await;
    let is_in_time = |l: &str| l.contains("caller reads too slowly") || l.contains("caller left");
    assert!(lines.iter().any(|(_, l)| is_in_time(l)), "{lines:?}");
    harness.wait_until_nothing_is_held().await;
    assert!(*written.lock().unwrap() < 100_000);
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, caller.read_to_end(&mut answer)).await;
    let is_complete = read.unwrap().is_ok() && answer.ends_with(b"\r\n0\r\n\r\n");
    assert!(!is_complete, "the stream looks complete");
}

/// The bytes that wait for one caller are bounded and counted, and the caller is cut off only once they
/// hold up the upstream.
#[tokio::test(start_paused = true)]
async fn events_read_ahead_are_bounded() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let gateway = Gateway::new(settings(), Arc::new(FakeDialect::default()), log);
    let gateway = Arc::new(gateway);
    let caller = Memory::accept(&gateway).await.unwrap();
    let held_before = gateway.memory.totals().0;
    let events = futures::stream::repeat_with(|| Ok(Bytes::from_static(&[b'x'; 1000])));
    let read_ahead = ReadAhead::new(Box::pin(events));
    let mut body = ReadAheadBody(read_ahead.clone());
    let poll_ahead = || std::future::poll_fn(|cx| Poll::Ready(read_ahead.poll_ahead(cx, &caller)));
    // The caller has taken everything so far.
    assert_eq!(poll_ahead().await, Ok(()));
    assert_eq!(gateway.memory.totals().0, held_before);
    // It takes one event, and then none.
    let frame = body.frame().await.unwrap().unwrap();
    assert_eq!(frame.into_data().unwrap().len(), 1000);
    assert_eq!(poll_ahead().await, Ok(()));
    let held = gateway.memory.totals().0 - held_before;
    assert_eq!(held, 256 * 1024);
    tokio::time::sleep(Duration::from_millis(1900)).await;
    assert_eq!(poll_ahead().await, Ok(()));
    assert_eq!(gateway.memory.totals().0 - held_before, held);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let slow = poll_ahead().await.unwrap_err();
    assert_eq!((slow.bytes, slow.age), (held, Duration::from_secs(2)));
    drop(body);
    assert_eq!(gateway.memory.totals().0, held_before);
}
