//! What all handlers and tasks of one entry share.

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
use crate::poison::PoisonTracker;
use crate::routing::Routing;
use crate::sharers::LimitSharers;

/// Events of one answer that wait for a slow reader.
const ANSWER_QUEUE_EVENTS: usize = 32;

/// Advice to a caller whose entry is shutting down, in milliseconds.
const LEAVING_RETRY_AFTER_MS: u32 = 1;

/// The configuration as the process holds it; `None` until the first one is known.
pub type ConfigReceiver = watch::Receiver<Option<Arc<Catalog>>>;

/// What all handlers and tasks of one entry share.
pub struct EntryState {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Time since the start.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Follower of the configuration.
    pub config: Arc<ConfigFollower>,
    /// Configuration in force.
    pub catalog: ConfigReceiver,
    /// Upstreams and entries as this process sees them.
    pub fleet: FleetView,
    /// Model groups as their coordinators describe them.
    pub groups: GroupStatuses,
    /// Follower of the VM list.
    pub vm_list: Arc<VmListFollower>,
    /// Which other entries live.
    pub liveness: LivenessMonitor,
    /// Which entries share which accounts' limits with this one.
    pub sharers: LimitSharers,
    /// Suspect and quarantined content.
    pub poison: PoisonTracker,
    /// Secret that minted keys are signed with.
    pub ticket_secret: TicketSecret,
    /// Routing machines.
    pub routing: Routing,
    /// Channels to agents and other entries.
    pub channels: Arc<ChannelPool>,
    /// Endpoint answers.
    pub endpoints: EndpointSelector,
    /// Requests being answered.
    pub running_requests: AtomicUsize,
    /// Whether the process is to end and should be left out of endpoint answers.
    pub draining: AtomicBool,
    /// Whether new requests are refused because the process ends.
    pub refusing: AtomicBool,
    /// Number for the next request.
    pub next_request_number: AtomicU64,
}

impl EntryState {
    /// A number for a new request.
    #[must_use]
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_number.fetch_add(1, Ordering::Relaxed))
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses while none is known.
    pub fn catalog(&self) -> Result<Arc<Catalog>, Refusal> {
        self.catalog.borrow().clone().ok_or_else(|| {
            let message = "this entry holds no configuration yet";
            Refusal::new(RefusalReason::NoConfiguration, message).with_retry_after_ms(1_000)
        })
    }

    /// Revision of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// Checks that new requests are taken.
    ///
    /// # Errors
    ///
    /// Refuses once the process is to end; the message names other addresses.
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

    /// Checks that content is not known to crash upstreams.
    ///
    /// # Errors
    ///
    /// Refuses content in quarantine.
    pub fn check_content(&self, content: &Digest) -> Result<(), Refusal> {
        self.poison.check_not_quarantined(content)
    }

    /// Starts to answer a request; events come until one of the three ends.
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

    /// The response for a refused request, counted by reason.
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

    /// Room of this entry and others, for endpoint answers; entries not named have all of it.
    #[must_use]
    pub fn headroom(&self) -> BTreeMap<VmName, f64> {
        BTreeMap::new()
    }
}

struct RunningRequestGuard<'a>(&'a EntryState);

impl Drop for RunningRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
