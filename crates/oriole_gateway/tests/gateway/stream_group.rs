//! A group of upstreams on real sockets: all its streams have an event at the same moments.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

/// A group that executes a pass at a fixed interval, unless it is frozen.
pub struct StreamGroup {
    /// Addresses of its ranks.
    pub ranks: Vec<SocketAddr>,
    frozen: Arc<Mutex<bool>>,
    attempts: Arc<Mutex<Vec<String>>>,
}

/// The event of a pass; all have the same length.
fn event(number: usize) -> String {
    format!("id: {number:03}\ndata: a\n\n")
}

impl StreamGroup {
    /// Starts ranks whose streams have `events` events.
    pub async fn start(ranks: usize, pass: Duration, events: usize) -> Self {
        // More passes than a test takes: a rank that lags on a busy machine must miss none.
        let (passes, _) = broadcast::channel(1024);
        let mut group = Self {
            ranks: Vec::new(),
            frozen: Arc::default(),
            attempts: Arc::default(),
        };
        for _ in 0..ranks {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            group.ranks.push(listener.local_addr().unwrap());
            let (attempts, passes) = (group.attempts.clone(), passes.clone());
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, attempts.clone(), passes.subscribe(), events));
                }
            });
        }
        let frozen = group.frozen.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(pass).await;
                if !*frozen.lock().unwrap() {
                    let _ = passes.send(());
                }
            }
        });
        group
    }

    /// Lets the group stand still or go on.
    pub fn set_frozen(&self, frozen: bool) {
        *self.frozen.lock().unwrap() = frozen;
    }

    /// Attempt ids of all requests that reached a rank.
    pub fn attempts(&self) -> Vec<String> {
        self.attempts.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    attempts: Arc<Mutex<Vec<String>>>,
    mut passes: broadcast::Receiver<()>,
    events: usize,
) -> Option<()> {
    let mut buf = vec![0; 4096];
    let len = stream.read(&mut buf).await.ok()?;
    let head = String::from_utf8_lossy(&buf[..len]).into_owned();
    let id = head.lines().find_map(|l| l.strip_prefix("attempt: "))?;
    attempts.lock().unwrap().push(id.to_owned());
    let length = events * event(0).len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\nConnection: close\r\n\
         Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n"
    );
    for number in 0..events {
        passes.recv().await.ok()?;
        if number == 0 {
            stream.write_all(head.as_bytes()).await.ok()?;
        }
        stream.write_all(event(number).as_bytes()).await.ok()?;
    }
    Some(())
}
