//! State that all handlers and tasks of one entry share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use dropshot::Body;
use http::Response;
use oriole_catalog::prelude::ConfigFollower;
use oriole_claims::ticket::TicketSecret;
use oriole_kernel::clock::Clock;
use oriole_peers::pool::ChannelPool;
use oriole_peers::vm_list::VmListFollower;
use oriole_routing::endpoints::EndpointSelector;
use oriole_types::prelude::*;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use crate::answer::{AnswerEvent, Refusal};
use crate::api::errors;
use crate::dispatch;
use crate::fleet::FleetView;
use crate::groups::GroupStatuses;
use crate::intake::AcceptedRequest;
use crate::liveness::LivenessMonitor;
use crate::memory::RequestMemory;
use crate::poison::PoisonTracker;
use crate::routing::Routing;
use crate::sharers::LimitSharers;

/// Capacity of an answer's event channel; when it is full, the request waits for its caller.
const ANSWER_QUEUE_EVENTS: usize = 32;

/// Retry advice to callers while the entry shuts down, in milliseconds. Other entries can serve
/// them at once.
const LEAVING_RETRY_AFTER_MS: u32 = 1;

/// Receives each new configuration; `None` until the first one is known.
pub type ConfigReceiver = watch::Receiver<Option<Arc<Catalog>>>;

/// State that all handlers and tasks of one entry share.
pub struct EntryState {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Clock that counts from the start of the process.
    pub clock: Clock,
    /// Logger of the daemon.
    pub log: Logger,
    /// Follower of the configuration.
    pub config: Arc<ConfigFollower>,
    /// Newest configuration.
    pub catalog: ConfigReceiver,
    /// The process's view of upstreams and entries.
    pub fleet: FleetView,
    /// Model group status, as reported by the coordinators.
    pub groups: GroupStatuses,
    /// Follower of the VM list.
    pub vm_list: Arc<VmListFollower>,
    /// Failure detection among entries.
    pub liveness: LivenessMonitor,
    /// Which entries share the limits of which accounts with this one.
    pub sharers: LimitSharers,
    /// Suspect and quarantined content.
    pub poison: PoisonTracker,
    /// Secret that minted keys are signed with.
    pub ticket_secret: TicketSecret,
    /// Router, limits, queues and retry budget.
    pub routing: Routing,
    /// Memory budget of requests and their bodies.
    pub memory: Arc<RequestMemory>,
    /// Channels to agents and other entries.
    pub channels: Arc<ChannelPool>,
    /// Selects the entries that endpoint answers name.
    pub endpoints: EndpointSelector,
    /// Number of requests that are running or waiting.
    pub running_requests: AtomicUsize,
    /// Set when a shutdown starts; the entry still serves.
    pub draining: AtomicBool,
    /// Set later in a shutdown, when endpoint answers that name this entry have expired: new
    /// requests are refused.
    pub refusing: AtomicBool,
    /// Number of the next request; starts at a random value.
    pub next_request_number: AtomicU64,
}

impl EntryState {
    /// Allocates the number of a new request.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_number.fetch_add(1, Ordering::Relaxed))
    }

    /// The newest configuration.
    ///
    /// # Errors
    ///
    /// Refuses the request if no configuration has been received yet.
    pub fn catalog(&self) -> Result<Arc<Catalog>, Refusal> {
        self.catalog.borrow().clone().ok_or_else(|| {
            let message = "this entry holds no configuration yet";
            Refusal::new(RefusalReason::NoConfiguration, message).with_retry_after_ms(1_000)
        })
    }

    /// Revision of the newest configuration; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Checks that new requests are accepted.
    ///
    /// # Errors
    ///
    /// Refuses the request late in a shutdown; the message names other entries' addresses.
    pub fn check_serving(&self) -> Result<(), Refusal> {
        if !self.refusing.load(Ordering::Relaxed) {
            return Ok(());
        }
        let others: Vec<String> = self
            .fleet
            .other_entries(&self.name)
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let message = format!("this entry is shutting down; use {}", others.join(", "));
        Err(Refusal::new(RefusalReason::EntryLeaving, message)
            .with_retry_after_ms(LEAVING_RETRY_AFTER_MS))
    }

    /// Checks that content is not quarantined.
    ///
    /// # Errors
    ///
    /// Refuses quarantined content.
    pub fn check_content(&self, content: &Digest) -> Result<(), Refusal> {
        self.poison.check_not_quarantined(content)
    }

    /// Starts to run a request in its own task. The receiver gets its events, up to the final
    /// outcome.
    #[must_use]
    pub fn dispatch(self: &Arc<Self>, accepted: AcceptedRequest) -> mpsc::Receiver<AnswerEvent> {
        let (tx, rx) = mpsc::channel(ANSWER_QUEUE_EVENTS);
        self.running_requests.fetch_add(1, Ordering::Relaxed);
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let _running = RunningRequestGuard(&state);
            dispatch::run(&state, accepted, &tx).await;
        });
        rx
    }

    /// Counts and logs a refusal and builds its response.
    #[must_use = "the caller is waiting for it"]
    pub fn refusal_response(&self, request: RequestId, refusal: &Refusal) -> Response<Body> {
        self.count_refusal(request, refusal);
        errors::refusal_response(request, refusal)
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, request: RequestId, refusal: &Refusal) {
        metrics::counter!("oriole_refused_total", "reason" => refusal.reason.as_str()).increment(1);
        info!(self.log, "request refused";
            "request_id" => errors::request_id_text(request),
            "step" => "refuse",
            "reason" => refusal.reason.as_str(),
        );
    }

    /// Free capacity of entries, for endpoint answers. Always empty, which counts all as idle.
    #[must_use]
    pub fn headroom(&self) -> BTreeMap<VmName, f64> {
        BTreeMap::new()
    }
}

/// Counts a running request until dropped.
struct RunningRequestGuard<'a>(&'a EntryState);

impl Drop for RunningRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
