//! The control address, at which a test driver reads the state of a deployment and injects faults.
//!
//! - `GET /ledger` returns the number of executions per idempotency key.
//! - `GET /upstreams` returns the state and counters of all upstreams.
//! - `POST /faults` injects one [`Fault`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriole_types::ids::VmName;
use oriole_types::value_type;
use serde::{Deserialize, Serialize};

use crate::health::{HealthState, UpstreamView};
use crate::ledger::Ledger;
use crate::server::{self, Body, ConnectionSwitch, Handler, HttpServer};

value_type! {
    /// How the store behaves.
    pub enum StoreFault {
        /// Answers normally.
        Up,
        /// Refuses every call.
        Down,
        /// Answers late.
        Slow,
        /// Executes writes and loses their answers.
        LoseAnswers,
    }
}

value_type! {
    /// Fault of an entry daemon.
    pub enum EntryFault {
        /// Terminates at once, without a shutdown.
        Kill,
        /// Starts again at the same address.
        Restart,
    }
}

value_type! {
    /// Fault of an agent.
    pub enum AgentFault {
        /// Terminates at once, without a shutdown.
        Kill,
        /// Starts again at the same address.
        Restart,
        /// Stops for a while, then continues with its state unchanged.
        Pause,
    }
}

/// Body of `POST /faults`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Fault {
    /// `{"store":"up|down|slow|lose_answers"}`
    Store(StoreCommand),
    /// `{"upstream":"NAME","state":"ok|cold|stall|crash"}`
    Upstream(UpstreamCommand),
    /// `{"entry":"ip:port","state":"kill|restart"}`
    Entry(EntryCommand),
    /// `{"agent":"NAME","state":"kill|restart|pause"}`
    Agent(AgentCommand),
}

oriole_types::domain_type! {
    /// Sets the behaviour of the store.
    pub struct StoreCommand {
        /// How the store behaves from now on.
        pub store: StoreFault,
    }
}

oriole_types::domain_type! {
    /// Puts an upstream into a state.
    pub struct UpstreamCommand {
        /// Name of the upstream.
        pub upstream: VmName,
        /// State it enters.
        pub state: HealthState,
    }
}

oriole_types::domain_type! {
    /// Kills or restarts an entry.
    pub struct EntryCommand {
        /// Address at which clients reach the entry.
        pub entry: SocketAddr,
        /// Fault to inject.
        pub state: EntryFault,
    }
}

oriole_types::domain_type! {
    /// Kills, restarts or pauses an agent.
    pub struct AgentCommand {
        /// Name of the VM that the agent runs on.
        pub agent: VmName,
        /// Fault to inject.
        pub state: AgentFault,
    }
}

/// Reason why a fault was not injected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// There is no such upstream, entry or agent.
    #[error("no {kind} {name:?}")]
    Unknown {
        /// Kind of the target: `upstream`, `entry` or `agent`.
        kind: &'static str,
        /// Requested name or address.
        name: String,
    },
    /// The target is in a state that does not allow the fault; holds the reason.
    #[error("{0}")]
    Refused(String),
}

/// Injects faults into a deployment.
#[async_trait]
pub trait FaultInjector: Send + Sync + 'static {
    /// Sets the behaviour of the store.
    async fn store(&self, fault: StoreFault) -> Result<(), FaultError>;

    /// Puts an upstream into a state.
    async fn upstream(&self, name: &VmName, state: HealthState) -> Result<(), FaultError>;

    /// Kills or restarts an entry.
    async fn entry(&self, addr: SocketAddr, fault: EntryFault) -> Result<(), FaultError>;

    /// Kills, restarts or pauses an agent.
    async fn agent(&self, name: &VmName, fault: AgentFault) -> Result<(), FaultError>;

    /// State and counters of all upstreams.
    fn upstreams(&self) -> Vec<UpstreamView>;
}

/// Error text for a body that is not a [`Fault`].
const USAGE: &str = "expected one of {\"store\":\"up|down|slow|lose_answers\"}, \
    {\"upstream\":\"NAME\",\"state\":\"ok|cold|stall|crash\"}, \
    {\"entry\":\"ip:port\",\"state\":\"kill|restart\"}, \
    {\"agent\":\"NAME\",\"state\":\"kill|restart|pause\"}";

/// The HTTP server at the control address.
#[derive(Debug)]
pub struct ControlServer {
    server: HttpServer,
}

impl ControlServer {
    /// Starts the server on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(ledger: Ledger, faults: Arc<dyn FaultInjector>) -> io::Result<Self> {
        let core = Arc::new(Core { ledger, faults });
        let server = HttpServer::bind(core, ConnectionSwitch::default()).await?;
        Ok(Self { server })
    }

    /// The address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn shutdown(&self) {
        self.server.shutdown().await;
    }
}

struct Core {
    ledger: Ledger,
    faults: Arc<dyn FaultInjector>,
}

#[async_trait]
impl Handler for Core {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/ledger") => self.ledger(),
            (&Method::GET, "/upstreams") => self.upstreams(),
            (&Method::POST, "/faults") => self.fault(req).await,
            (_, "/ledger" | "/upstreams" | "/faults") => {
                server::error(StatusCode::METHOD_NOT_ALLOWED, "wrong method")
            }
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Core {
    fn ledger(&self) -> Response<Body> {
        #[derive(Serialize)]
        struct LedgerBody {
            runs: std::collections::BTreeMap<String, u64>,
        }
        let runs = self.ledger.runs();
        server::json(StatusCode::OK, &LedgerBody { runs })
    }

    fn upstreams(&self) -> Response<Body> {
        #[derive(Serialize)]
        struct UpstreamsBody {
            upstreams: Vec<UpstreamView>,
        }
        let upstreams = self.faults.upstreams();
        server::json(StatusCode::OK, &UpstreamsBody { upstreams })
    }

    async fn fault(&self, req: Request<Incoming>) -> Response<Body> {
        let Some(body) = server::read_body(req.into_body()).await else {
            return server::error(StatusCode::BAD_REQUEST, "the body cannot be read");
        };
        let Ok(fault) = serde_json::from_slice::<Fault>(&body) else {
            return server::error(StatusCode::BAD_REQUEST, USAGE);
        };
        match self.apply(fault).await {
            Ok(()) => server::json(StatusCode::OK, &serde_json::json!({"done": true})),
            Err(e) => server::error(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    async fn apply(&self, fault: Fault) -> Result<(), FaultError> {
        match fault {
            Fault::Store(cmd) => self.faults.store(cmd.store).await,
            Fault::Upstream(cmd) => self.faults.upstream(&cmd.upstream, cmd.state).await,
            Fault::Entry(cmd) => self.faults.entry(cmd.entry, cmd.state).await,
            Fault::Agent(cmd) => self.faults.agent(&cmd.agent, cmd.state).await,
        }
    }
}
