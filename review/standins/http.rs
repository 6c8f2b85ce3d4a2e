//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn read_until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            if let Some(i) = self.buf.windows(end.len()).position(|w| w == end) {
                return Ok(self.buf.drain(..i + end.len()).collect());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let bytes = self.read_until(b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| {
            let (name, value) = l.split_once(':')?;
            Some((name.trim().to_owned(), value.trim().to_owned()))
        });
        Ok(Head {
            headers: headers.collect(),
            first_line,
        })
    }

    /// Reads a body with a length or in chunks. A body with neither is empty.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.read_until(b"\r\n")?;
                let text = String::from_utf8_lossy(&line).trim().to_owned();
                let size = text.split(';').next().unwrap_or("");
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.read_exact(size + 2)?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let len = head.get("content-length").and_then(|v| v.parse().ok());
        self.read_exact(len.unwrap_or(0))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let outcome = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match outcome {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves connections on a thread each until the process ends.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Fn(&mut Conn, Head, Vec<u8>) -> io::Result<()> + Send + Sync>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut conn = Conn::new(stream);
                loop {
                    let Ok(head) = conn.read_head() else { return };
                    let Ok(body) = conn.read_body(&head) else {
                        return;
                    };
                    if handler(&mut conn, head, body).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

pub fn json_response(status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// What a client received for one request.
#[derive(Debug)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Whether the answer has arrived to its proper end.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn none() -> Self {
        Self {
            head: None,
            body: Vec::new(),
            is_complete: false,
            took: Duration::ZERO,
        }
    }

    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }
}

/// Sends a request on a connection and reads the answer until `deadline`.
pub fn exchange(conn: &mut Conn, request: &[u8], deadline: Duration) -> Answer {
    let started_at = Instant::now();
    let _ = conn.stream.set_read_timeout(Some(deadline));
    let mut answer = Answer::none();
    if conn.write(request).is_ok()
        && let Ok(head) = conn.read_head()
    {
        answer.head = Some(head.clone());
        if let Ok(body) = conn.read_body(&head) {
            answer.body = body;
            answer.is_complete = true;
        }
    }
    answer.took = started_at.elapsed();
    answer
}

/// Gets a target from an address; `None` without a complete answer.
pub fn get(to: SocketAddr, target: &str) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let mut conn = Conn::new(stream);
    let request = format!("GET {target} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
    let answer = exchange(&mut conn, request.as_bytes(), Duration::from_secs(1));
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    answer.is_complete.then(|| (answer.status(), body))
}
