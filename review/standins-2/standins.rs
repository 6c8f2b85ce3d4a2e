//! Stand-ins for the review's scripts: the platform's store, upstreams, callers, and the entry daemons
//! as processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a script found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

impl Verdict {
    pub fn exit(self) -> ! {
        std::process::exit(match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        })
    }
}

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>3}.{:03} {}", ms / 1000, ms % 1000, text.as_ref());
    }
}

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or("-")
    }

    pub fn query(&self, key: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query
            .split('&')
            .find_map(|p| p.strip_prefix(&format!("{key}=")))?;
        Some(percent_decode(pair))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head up to its empty line, then bytes that came with it.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            return Ok(Some(head));
        }
        let mut chunk = [0; 16 * 1024];
        let len = stream.read(&mut chunk)?;
        if len == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..len]);
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect()
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Req>> {
    let Some(head) = read_head(stream, buf)? else {
        return Ok(None);
    };
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut req = Req {
        method: first.next().unwrap_or_default().to_owned(),
        target: first.next().unwrap_or_default().to_owned(),
        headers: parse_headers(lines),
        body: Vec::new(),
    };
    let len: usize = req
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while buf.len() < len {
        let mut chunk = [0; 16 * 1024];
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..n]);
    }
    req.body = buf.drain(..len).collect();
    Ok(Some(req))
}

/// What a server does with the connection after a request.
#[derive(PartialEq)]
pub enum Next {
    Keep,
    Close,
}

/// Serves requests, one thread for each connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Req, &mut TcpStream) -> io::Result<Next> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buf = Vec::new();
                while let Ok(Some(req)) = read_request(&mut stream, &mut buf) {
                    match handler(&req, &mut stream) {
                        Ok(Next::Keep) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision and base64 value of each key.
    items: BTreeMap<String, (u64, String)>,
    /// All changes: revision, key, value unless removed.
    events: Vec<(u64, String, Option<String>)>,
    leases: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let server = store.clone();
        serve(listener, move |req, stream| {
            let body = server.answer(req);
            respond(
                stream,
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            )
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state
                .items
                .insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.events.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn answer(&self, req: &Req) -> String {
        let path = req.target.split('?').next().unwrap_or_default();
        match path {
            "/api/kv-range" => self.range(&req.query("prefix").unwrap_or_default()),
            "/api/kv-watch" => self.watch(req),
            "/api/kv-lease" => {
                let mut state = self.shared.0.lock().unwrap();
                state.leases += 1;
                format!("{{\"lease_id\":{},\"ttl_ms\":20000}}", state.leases)
            }
            "/api/kv-txn" => {
                let text = String::from_utf8_lossy(&req.body).into_owned();
                let field = |name: &str| {
                    let from = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    let len = text[from..].find('"')?;
                    Some(text[from..from + len].to_owned())
                };
                if let (Some(key), Some(value)) = (field("key"), field("value")) {
                    self.change(&key, Some(value));
                }
                format!(
                    "{{\"revision\":{}}}",
                    self.shared.0.lock().unwrap().revision
                )
            }
            _ => "{}".to_owned(),
        }
    }

    fn range(&self, prefix: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let entries: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (revision, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease_id\":0}}")
            })
            .collect();
        format!(
            "{{\"entries\":[{}],\"truncated\":false,\"at\":{}}}",
            entries.join(","),
            state.revision
        )
    }

    fn watch(&self, req: &Req) -> String {
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |key| req.query(key).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease_id\":0}}"),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Writes a whole response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Next> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(Next::Keep)
}

/// Writes a worker's entry.
pub fn register(store: &Store, instance: &str, service: &str, address: SocketAddr, capacity: u32) {
    let born = unix_ms();
    store.put(
        &format!("servers/{instance}"),
        &format!("{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"cl-nord\",\"version\":\"1\",\"capacity\":{capacity},\"phase\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{born}}}"),
    );
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap().as_millis() as u64
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that the script started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: `kill` has no requirements on memory.
    unsafe { kill(pid as i32, number) };
}

/// Connects with a receive buffer of a given size, as a caller with little memory.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: the descriptor is new and owned by the stream, and the address lives until `connect`
    // returns.
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, 1, 8, &bytes, 4);
        let mut raw = [0u8; 16];
        raw[..2].copy_from_slice(&2u16.to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// An entry daemon as a process of its own.
pub struct Gateway {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub endpoints: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
}

/// Port of every daemon for its peers, and the first of its other ports.
const PEER_PORT: u16 = 7340;
const FIRST_PORT: u16 = 7351;

/// A loopback address of this script alone. Ports there needn't be drawn: nothing else binds or uses them.
pub fn own_ip(host: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{host}", 20 + pid / 250 % 200, pid % 250)
}

pub struct GatewayOptions<'a> {
    pub ip: &'a str,
    pub seeds: &'a [String],
    pub memory_mb: u64,
}

impl Gateway {
    /// Starts a daemon with the settings that `deploy/gateway.toml.tmpl` would give it.
    pub fn start(
        name: &str,
        store: SocketAddr,
        folder: &Path,
        options: &GatewayOptions<'_>,
    ) -> Self {
        let ip = options.ip;
        let address = |i| SocketAddr::new(ip.parse().unwrap(), FIRST_PORT + i);
        let (callers, ready, endpoints, metrics) = (address(0), address(1), address(2), address(3));
        let seeds: Vec<String> = options
            .seeds
            .iter()
            .map(|s| format!("\"{s}:8229\""))
            .collect();
        let text = format!(
            "name = \"{name}\"\ndomain = \"cl-nord\"\nmax_descriptors = 2870\nmemory_mb = {}\n\n[listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nendpoints = \"{endpoints}\"\nmetrics = \"{metrics}\"\n\n[peers]\nlisten = \"{ip}:{PEER_PORT}\"\nseeds = [{}]\n\n[store]\naddress = \"{store}\"\n\n[bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 196\ncold_overage = 1.5\ncold_allowance = 5\ndrain_ms = 2000\ngrace_s = 8\n",
            options.memory_mb,
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let program = PathBuf::from("target/release/oriole-gateway");
        let child = Self::spawn(&program, &settings, &log);
        Self {
            child,
            name: name.to_owned(),
            callers,
            ready,
            endpoints,
            log,
            settings,
            program,
        }
    }

    fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let mut command = Command::new(program);
        command
            .env("ORIOLEFIELD_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        // SAFETY: `prctl` may be called between fork and exec. The daemon ends with this process, however
        // that ends (PR_SET_PDEATHSIG).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        command
            .spawn()
            .expect("target/release/oriole-gateway: run the build of deploy/system.toml first")
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(answer) = exchange(
                self.ready,
                b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                Duration::from_secs(1),
            ) && answer.status == 200
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, number: i32) {
        signal(self.child.id(), number);
    }

    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(&self.program, &self.settings, &self.log);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end by its own framing.
    pub complete: bool,
    /// How reading ended, if not at the end of the body.
    pub error: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// Reads one answer. `pause` runs once, after the head.
pub fn read_answer(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    mut pause: impl FnMut(&[u8]),
) -> io::Result<Answer> {
    let Some(head) = read_head(stream, buf)? else {
        return Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "closed without an answer",
        ));
    };
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .unwrap_or_default()
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let headers = parse_headers(lines);
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
        complete: false,
        error: String::new(),
    };
    let length: Option<usize> = answer.header("content-length").and_then(|v| v.parse().ok());
    let chunked = answer.header("transfer-encoding").is_some();
    loop {
        let done = if chunked {
            decode_chunks(buf, &mut answer.body)
        } else {
            answer.body.append(buf);
            length.is_some_and(|l| answer.body.len() >= l)
        };
        if done {
            answer.complete = true;
            return Ok(answer);
        }
        pause(&answer.body);
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) => {
                answer.complete = !chunked && length.is_none();
                answer.error = "closed".to_owned();
                return Ok(answer);
            }
            Ok(len) => buf.extend_from_slice(&chunk[..len]),
            Err(e) => {
                answer.error = e.to_string();
                return Ok(answer);
            }
        }
    }
}

/// Moves whole chunks from `buf` to `body`; returns whether the last one was among them.
fn decode_chunks(buf: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = buf.windows(2).position(|w| w == b"\r\n") else {
            return false;
        };
        let size = String::from_utf8_lossy(&buf[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
        else {
            return false;
        };
        if buf.len() < end + 2 + size + 2 {
            return false;
        }
        body.extend_from_slice(&buf[end + 2..end + 2 + size]);
        buf.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}

pub fn exchange(address: SocketAddr, req: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(req)?;
    read_answer(&mut stream, &mut Vec::new(), |_| {})
}

/// Listens at an address that was in use before, as soon as it is free.
fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// What a worker does with a request.
pub type Handler = dyn Fn(&Worker, &Req, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Time after which a crashed worker is back.
pub const WORKER_RESTART: Duration = Duration::from_secs(3);

/// A worker that may crash. It comes back at its address as another run of the same instance.
pub struct Worker {
    pub name: String,
    is_down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn start(
        rec: &Record,
        store: &Store,
        name: String,
        service: &'static str,
        capacity: u32,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        register(store, &name, service, address, capacity);
        let worker = Arc::new(Self {
            name,
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let (rec, store) = (rec.clone(), store.clone());
        let started = worker.clone();
        thread::spawn(move || {
            let mut listener = listener;
            loop {
                worker.accept(listener, &handler);
                thread::sleep(WORKER_RESTART);
                listener = bind_again(address);
                worker.is_down.store(false, Ordering::SeqCst);
                register(&store, &worker.name, service, address, capacity);
                rec.line(format!("worker {} is back", worker.name));
            }
        });
        started
    }

    /// Serves connections until the worker crashes: then it takes no new ones, and all open ones end.
    fn accept(self: &Arc<Self>, listener: TcpListener, handler: &Arc<Handler>) {
        listener.set_nonblocking(true).unwrap();
        while !self.is_down.load(Ordering::SeqCst) {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            self.open.lock().unwrap().push(stream.try_clone().unwrap());
            let (worker, handler) = (self.clone(), handler.clone());
            thread::spawn(move || {
                let mut buf = Vec::new();
                while let Ok(Some(req)) = read_request(&mut stream, &mut buf) {
                    if handler(&worker, &req, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
        drop(listener);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Crashes; returns whether it was up.
    pub fn crash(&self) -> bool {
        !self.is_down.swap(true, Ordering::SeqCst)
    }

    /// Fails if the worker has crashed, once its listener and connections are closed.
    pub fn check_up(&self) -> io::Result<()> {
        if self.is_down.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}
