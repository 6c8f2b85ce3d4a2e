//! Stand-in of a worker.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::cluster::Record;
use crate::http::{self, Conn, Head};

/// Rate of bytes without end, over all connections: a machine's link of 700 Mbit/s for its 0.17 cores,
/// scaled to the whole core that a process has here.
const ENDLESS_BYTES_PER_S: f64 = 700e6 / 8.0 / 0.17;

static ENDLESS_SENT: AtomicU64 = AtomicU64::new(0);
static ENDLESS_SINCE: OnceLock<Instant> = OnceLock::new();

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    /// Time at which the answer was written to its end.
    pub ended_at: Option<f64>,
    /// Time at which the worker saw that its caller had closed the connection.
    pub cut_at: Option<f64>,
}

#[derive(Clone)]
pub struct Worker {
    pub instance: String,
    pub address: SocketAddr,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events, or until a plain answer.
    pub pause: Duration,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    last_signature: Arc<AtomicU64>,
    is_endless: Arc<AtomicBool>,
    is_garbled: Arc<AtomicBool>,
    /// Event of each stream after which the request is preempted, and for how long; none if zero.
    preemption: Arc<Mutex<(u64, Duration)>>,
}

impl Worker {
    pub fn start(
        listener: TcpListener,
        instance: &str,
        events: u64,
        pause: Duration,
        record: &Record,
    ) -> Self {
        let worker = Self {
            instance: instance.to_owned(),
            address: listener.local_addr().unwrap(),
            events,
            pause,
            runs: Arc::default(),
            record: record.clone(),
            last_signature: Arc::default(),
            is_endless: Arc::default(),
            is_garbled: Arc::default(),
            preemption: Arc::default(),
        };
        let handler = worker.clone();
        http::serve(
            listener,
            Arc::new(move |conn, head, _body| handler.handle(conn, &head)),
        );
        worker
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"capacity\":12,\"phase\":\"ready\",\"cold_remaining_ms\":0,\"born\":1790000000000,\
             \"sequence\":1}}",
            self.address
        )
    }

    /// Whether the bodies of its answers never end.
    pub fn set_endless(&self, is_endless: bool) {
        self.is_endless.store(is_endless, Ordering::Relaxed);
    }

    /// Whether it sends bytes that are no answer, and leaves the connection open.
    pub fn set_garbled(&self, is_garbled: bool) {
        self.is_garbled.store(is_garbled, Ordering::Relaxed);
    }

    /// Preempts each stream after this event for a while.
    pub fn set_preemption(&self, event: u64, pause: Duration) {
        *self.preemption.lock().unwrap() = (event, pause);
    }

    pub fn run_of(&self, attempt: &str) -> Option<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|r| r.attempt == attempt).cloned()
    }

    fn handle(&self, conn: &mut Conn, head: &Head) -> io::Result<()> {
        if head.word(1) == "/healthz" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.instance
            );
            return conn.write(head.as_bytes());
        }
        let attempt = head.get("Attempt-Id").unwrap_or("").to_owned();
        if head
            .get("Expect-Instance")
            .is_some_and(|i| i != self.instance)
        {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.instance
            );
            return conn.write(head.as_bytes());
        }
        self.record
            .line(&format!("worker {} runs {attempt}", self.instance));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.clone(),
                ended_at: None,
                cut_at: None,
            });
            runs.len() - 1
        };
        let outcome = if self.events > 0 {
            self.stream(conn, &attempt)
        } else {
            self.answer(conn, &attempt)
        };
        let now = self.record.now();
        let run = &mut self.runs.lock().unwrap()[index];
        match &outcome {
            Ok(()) => {
                run.ended_at = Some(now);
                self.record
                    .line(&format!("worker {} ends {attempt}", self.instance));
            }
            Err(e) => {
                run.cut_at = Some(now);
                let text = format!(
                    "worker {} at work on {attempt}: its caller is gone ({e})",
                    self.instance
                );
                self.record.line(&text);
            }
        }
        outcome
    }

    fn signature(&self) -> String {
        let number = self.last_signature.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number:x}", self.instance)
    }

    fn answer(&self, conn: &mut Conn, attempt: &str) -> io::Result<()> {
        std::thread::sleep(self.pause);
        if self.is_garbled.load(Ordering::Relaxed) {
            conn.write(b"HTTP/1.1 101 Switching Protocols\r\n\r\n\x00\x01\x02\x03")?;
            while !conn.is_closed() {
                std::thread::sleep(Duration::from_millis(20));
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if self.is_endless.load(Ordering::Relaxed) {
            return self.send_without_end(conn, attempt);
        }
        let body = format!("answer to {attempt};").repeat(20);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.signature(),
            body.len()
        );
        conn.write(head.as_bytes())
    }

    /// Sends a body that is no body, until the caller closes: the size of its first chunk never ends.
    /// All workers together keep to [`ENDLESS_BYTES_PER_S`].
    fn send_without_end(&self, conn: &mut Conn, attempt: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.signature()
        );
        conn.write(head.as_bytes())?;
        let bytes = [b'0'; 64 * 1024];
        let started_at = *ENDLESS_SINCE.get_or_init(Instant::now);
        loop {
            conn.write(&bytes)?;
            let sent = ENDLESS_SENT.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            let due = Duration::from_secs_f64(sent as f64 / ENDLESS_BYTES_PER_S);
            let ahead = due.saturating_sub(started_at.elapsed());
            std::thread::sleep(ahead.min(Duration::from_millis(200)));
        }
    }

    fn stream(&self, conn: &mut Conn, attempt: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.signature()
        );
        conn.write(head.as_bytes())?;
        for id in 1..=self.events {
            std::thread::sleep(self.pause);
            if conn.is_closed() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {id}\ndata: {attempt} {id} of {}\n\n", self.events);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            conn.write(chunk.as_bytes())?;
            let (event, pause) = *self.preemption.lock().unwrap();
            if id == event {
                let text = format!("worker {} preempts {attempt} for {pause:?}", self.instance);
                self.record.line(&text);
                std::thread::sleep(pause);
            }
        }
        conn.write(b"0\r\n\r\n")
    }
}
