//! Test fixture: a store, a VM list and two entries, with a transcript of the commands that
//! operators run.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriole_catalog::prelude::*;
use oriole_ctl::ctl::render_result;
use oriole_ctl::prelude::*;
use oriole_standins::store::{StoreServer, StoreServerConfig};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::net::TcpListener;

/// Loopback address with a port that the system chooses.
const LOOPBACK_ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Fixed time of every change in the history, so that transcripts are reproducible.
const NOW_UNIX_MS: u64 = 1_700_000_000_000;

/// Starts an HTTP server that answers by path, with 404 where `answer` returns `None`.
async fn serve(answer: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK_ANY_PORT))
        .await
        .unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            let service = service_fn(move |req: Request<Incoming>| {
                let body = answer(req.uri().path());
                async move { Ok::<_, std::convert::Infallible>(reply(body)) }
            });
            let conn = hyper::server::conn::http1::Builder::new();
            tokio::spawn(conn.serve_connection(TokioIo::new(stream), service));
        }
    });
    addr
}

fn reply(body: Option<String>) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body.clone().unwrap_or_default().into()));
    if body.is_none() {
        *reply.status_mut() = StatusCode::NOT_FOUND;
    }
    reply
}

/// A fixture with the transcript of the commands run so far.
pub struct Session {
    pub server: StoreServer,
    files: tempfile::TempDir,
    vm_list: SocketAddr,
    transcript: String,
}

impl Session {
    pub async fn open() -> Self {
        let server = StoreServer::bind(LOOPBACK_ANY_PORT.into(), StoreServerConfig::default());
        let server = server.await.unwrap();
        let mut vms = Vec::new();
        for (name, domain) in [("entry-1", "gela"), ("entry-2", "enna")] {
            vms.push(spawn_entry(name, domain, server.addr()).await);
        }
        let mut upstream = vms[0].clone();
        upstream.name = "ledger-1".into();
        let pool = "ledger".into();
        upstream.role = VmRole::Upstream { pool };
        vms.push(upstream);
        let list = serde_json::to_string(&VmList { version: 1, vms }).unwrap();
        let vm_list = serve(move |path| (path == "/vms").then(|| list.clone())).await;
        Self {
            server,
            files: tempfile::tempdir().unwrap(),
            vm_list,
            transcript: String::new(),
        }
    }

    /// Writes a file that command lines can name.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.files.path().join(name), text).unwrap();
    }

    /// Adds a comment line to the transcript.
    pub fn note(&mut self, text: &str) {
        writeln!(self.transcript, "# {text}").unwrap();
    }

    /// Runs a command line as an author. A word that names a file written by
    /// [`Session::write_file`] is replaced by its path.
    pub async fn run(&mut self, author: &str, line: &str) {
        let dir = self.files.path();
        let words = line.split(' ').map(|w| {
            let file = dir.join(w);
            let is_file = file.is_file();
            if is_file {
                file.display().to_string()
            } else {
                w.to_owned()
            }
        });
        let words: Vec<_> = words.collect();
        let words: Vec<_> = words.iter().map(String::as_str).collect();
        let (output, exit) = self.run_args(author, &words).await;
        let output = output.replace(&format!("{}/", dir.display()), "");
        let output = mask_time(&output);
        let line = format!(
            "{author}$ oriolectl {line}\n{output}\n[exit {}: {exit:?}]",
            exit as u8
        );
        writeln!(self.transcript, "{line}\n").unwrap();
    }

    async fn run_args(&self, author: &str, words: &[&str]) -> (String, ExitStatus) {
        let (args, json) = match Args::parse(words) {
            Ok(parsed) => parsed,
            Err(e) => return (e.output, ExitStatus::Invalid),
        };
        let settings = Settings::new(self.server.addr(), self.vm_list, author);
        let store = HttpStore::open(settings.store, StoreClientConfig::default());
        let ctl = Ctl::with_store(settings, Arc::new(store), || NOW_UNIX_MS);
        render_result(ctl.run(&args.command.unwrap()).await, json)
    }

    /// The transcript.
    pub fn text(self) -> String {
        self.transcript
    }
}

/// Starts a stand-in for an entry: it follows the store's catalog and reports its revision.
async fn spawn_entry(name: &str, domain: &str, store: SocketAddr) -> VmRecord {
    let store = HttpStore::open(store, StoreClientConfig::default());
    let member = Member {
        name: name.into(),
        domain: domain.into(),
    };
    let cfg = FollowerConfig::default();
    let follower = ConfigFollower::spawn(cfg, member, Arc::new(store), Arc::new(NoPeers));
    let (name_text, domain_text) = (name.to_owned(), domain.to_owned());
    let group = group_json(name);
    let address = serve(move |path| {
        let revision = follower.revision();
        let status = format!(
            r#"{{"name":"{name_text}","domain":"{domain_text}","state":"serving",
            "revision":{revision},"config_age_ms":100,"a_later_field":true,
            "upstreams":[{{"name":"ledger-1","pool":"ledger","domain":"gela","cold":false,
            "limit":32,"in_flight":3,"leaving":false}}],"groups":[{group}]}}"#
        );
        (path == "/v1/status").then_some(status)
    });
    let address = address.await;
    VmRecord {
        name: name.into(),
        domain: domain.into(),
        role: VmRole::Entry,
        address,
        peer_address: address,
        state: VmState::Live,
    }
}

/// Group state in the status of an entry. The two entries name different coordinators; the second
/// has the higher fencing number.
fn group_json(entry: &str) -> String {
    let (coordinator, fence, version) = match entry {
        "entry-1" => ("sorter-2", 3, 16),
        _ => ("sorter-1", 4, 17),
    };
    let digest = "ab".repeat(32);
    format!(
        r#"{{"name":"sorters","coordinator":"{coordinator}","fence":{fence},"age_ms":400,
        "phase":"steady","map_version":{version},"map_digest":"{digest}","step":90210,"skew":1.024,
        "stragglers":[1],"silent":[],"last_switch":{{"map_version":{version},"reason":"drift",
        "committed":true,"failure":null,"skew_before":1.19,"skew_after":1.02,"move_count":1,
        "moves":[{{"layer":1,"rank":0,"expert":7,"evicted":3}}]}}}}"#
    )
}

/// Masks the time until a revision is in force, which differs between runs.
fn mask_time(text: &str) -> String {
    let mut masked = text.to_owned();
    for (before, after) in [("entries after ", " ms"), ("\"after_ms\":", ",")] {
        let Some(start) = masked.find(before).map(|i| i + before.len()) else {
            continue;
        };
        if let Some(len) = masked[start..].find(after) {
            masked.replace_range(start..start + len, "N");
        }
    }
    masked
}
