//! State that the handlers and tasks of one agent share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use oriole_admission::confirmation::Confirmation;
use oriole_admission::gate::Gate;
use oriole_catalog::prelude::ConfigFollower;
use oriole_claims::service::ClaimHandle;
use oriole_kernel::clock::Clock;
use oriole_peers::vm_list::VmListFollower;
use oriole_types::prelude::*;
use oriole_wire::reply::Trailer;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::gate::{AdmittedWork, GateHandle};
use crate::group::GroupMembership;
use crate::upstream::Upstream;

/// State that the handlers and tasks of one agent share.
pub struct AgentCore {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Pool that the upstream serves.
    pub pool: PoolName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Clock that counts from the start of the process.
    pub clock: Clock,
    /// Logger of the daemon.
    pub log: Logger,
    /// Follower of the configuration.
    pub config: Arc<ConfigFollower>,
    /// Newest configuration; `None` until the first one is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Follower of the VM list.
    pub vm_list: Arc<VmListFollower>,
    /// Admission gate of the upstream.
    pub gate: GateHandle,
    /// Client of the upstream.
    pub upstream: Box<dyn Upstream>,
    /// Claims of requests that are not idempotent.
    pub claims: ClaimHandle,
    /// The agent's membership in a model group.
    pub group: GroupMembership,
    /// Whether the upstream cannot be reached; also set until it is reached for the first time.
    pub is_upstream_lost: AtomicBool,
    /// Wakes the task that probes the upstream.
    pub probe_now: Notify,
}

impl AgentCore {
    /// Revision of the newest configuration; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// The trailer of an exchange: load and configuration revision.
    #[must_use]
    pub fn trailer(&self) -> Trailer {
        Trailer {
            load: Some(self.gate.load()),
            revision: self.revision(),
        }
    }

    /// Time since a read of the store last confirmed the configuration, as far as this agent knows;
    /// `None` if it knows of no such read.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        self.gate.read(Gate::configuration_age)
    }

    /// Records the revision and confirmation of the configuration that a peer sent. Only a peer
    /// with the same revision confirms it; a newer revision is a hint to fetch it from that peer.
    pub fn record_configuration(
        &self,
        peer: &VmName,
        domain: &DomainName,
        revision: Revision,
        confirmed_age: Option<Duration>,
    ) {
        self.config.hint(revision, peer);
        let age = confirmed_age.filter(|_| revision == self.revision());
        let domain = domain.clone();
        self.gate
            .confirm_configuration(&Confirmation { domain, age });
    }

    /// Records that the connection to the upstream broke while work ran: the upstream's process
    /// counts as lost with all its work, unless this work was part of an earlier loss.
    pub fn on_connection_broken(&self, work: AdmittedWork) {
        if work.is_current() {
            self.upstream_lost();
        }
    }

    /// Records that the upstream's process cannot be reached.
    pub fn upstream_lost(&self) {
        if !self.is_upstream_lost.swap(true, Ordering::AcqRel) {
            warn!(self.log, "upstream lost"; "upstream" => self.name.as_str(), "step" => "run");
            metrics::counter!("oriole_upstream_lost_total").increment(1);
            self.gate.upstream_lost();
        }
        self.probe_now.notify_one();
    }

    /// Records that the upstream is reachable and has `in_flight` requests, including those that
    /// this agent did not start or no longer knows.
    pub fn upstream_connected(&self, in_flight: u32) {
        if self.is_upstream_lost.swap(false, Ordering::AcqRel) {
            info!(self.log, "upstream found"; "upstream" => self.name.as_str(), "step" => "probe");
            self.gate.update(|gate, now| {
                gate.upstream_connected(now, in_flight);
                Vec::new()
            });
        }
    }
}
