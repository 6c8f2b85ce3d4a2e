//! Starts the project's programs as processes, on loopback addresses, with settings like those that
//! the templates of the deploy file render for a small deployment.

use std::fs::File;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            started_at: Instant::now(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Sleeps until a time since the start of the run.
    pub fn sleep_until(&self, at: f64) {
        std::thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }
}

/// A loopback network; each host number stands for a machine.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    /// A network in which no other run listens at the port of the daemons' peers.
    pub fn unused() -> Self {
        let mut seed = std::process::id() ^ Instant::now().elapsed().subsec_nanos();
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = Self((seed >> 24) as u8 % 250 + 1, (seed >> 16) as u8 % 250);
            if UdpSocket::bind((net.ip(20), PEER_PORT)).is_ok() {
                return net;
            }
        }
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, host)
    }

    pub fn listen(self, host: u8) -> TcpListener {
        TcpListener::bind((self.ip(host), 0)).unwrap()
    }

    fn unused_addresses<const N: usize>(self, host: u8) -> [SocketAddr; N] {
        let listeners = [(); N].map(|()| self.listen(host));
        listeners.map(|l| l.local_addr().unwrap())
    }
}

const PEER_PORT: u16 = 7340;
const FIRST_GATEWAY_HOST: u8 = 20;

/// A process of the project; killed when dropped.
pub struct Daemon {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    fn new(program: &'static str, folder: &Path, name: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).unwrap();
        let mut daemon = Self {
            program,
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        daemon.start();
        daemon
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.unwrap();
        let mut command = Command::new(self.program);
        command
            .env("ORIOLEFIELD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // SAFETY: a plain system call in the child. No daemon outlives a case that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn().unwrap());
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a plain system call on the id of a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn has_exited(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let has_exited = child.try_wait().is_ok_and(|status| status.is_some());
        if has_exited {
            self.child = None;
        }
        has_exited
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry daemon with its addresses.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub endpoints: SocketAddr,
    pub daemon: Daemon,
}

impl Gateway {
    pub fn start(net: Net, folder: &Path, index: u8, store: SocketAddr) -> Self {
        let host = FIRST_GATEWAY_HOST + index;
        let [callers, ready, endpoints, metrics] = net.unused_addresses(host);
        let name = format!("edge-{}", index + 1);
        let (ip, seed) = (net.ip(host), net.ip(FIRST_GATEWAY_HOST));
        let settings = format!(
            "name = \"{name}\"\ndomain = \"z1\"\nmax_descriptors = 2870\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             endpoints = \"{endpoints}\"\nmetrics = \"{metrics}\"\n\n\
             [peers]\nlisten = \"{ip}:{PEER_PORT}\"\nseeds = [\"{seed}:8229\"]\n\n\
             [store]\naddress = \"{store}\"\n\n\
             [bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 196\n\
             cold_overage = 1.5\ncold_allowance = 5\ndrain_ms = 2000\ngrace_s = 8\n"
        );
        Self {
            callers,
            ready,
            endpoints,
            daemon: Daemon::new("target/release/oriole-gateway", folder, &name, &settings),
            name,
        }
    }

    pub fn is_ready(&self) -> bool {
        http::get(self.ready, "/api/readyz").is_some_and(|(status, _)| status == 200)
    }

    /// Addresses that a client is told to use.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let target = "/api/resolve?name=a.example&region=r1&zone=z1";
        let Some((200, body)) = http::get(self.endpoints, target) else {
            return Vec::new();
        };
        let words = body.split('"');
        words.filter_map(|w| w.parse().ok()).collect()
    }
}

/// Waits until all entry daemons are ready and list each other; `false` if that takes too long.
pub fn wait_until_ready(gateways: &[Gateway]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let is_ready = |g: &Gateway| g.is_ready() && g.resolve().len() == gateways.len();
        if gateways.iter().all(is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A temporary folder; removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
