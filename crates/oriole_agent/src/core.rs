//! What the handlers and tasks of one agent share.

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

/// What the handlers and tasks of one agent share.
pub struct AgentCore {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Pool that the upstream serves.
    pub pool: PoolName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Time since the start.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Follower of the configuration.
    pub config: Arc<ConfigFollower>,
    /// Configuration in force; `None` until the first one is known.
    pub catalog: watch::Receiver<Option<Arc<Catalog>>>,
    /// Follower of the VM list.
    pub vm_list: Arc<VmListFollower>,
    /// Admission.
    pub gate: GateHandle,
    /// The upstream.
    pub upstream: Box<dyn Upstream>,
    /// Claims of requests that are not idempotent.
    pub claims: ClaimHandle,
    /// The agent's place in a model group.
    pub group: GroupMembership,
    /// Whether the upstream was lost and not found again.
    pub is_upstream_lost: AtomicBool,
    /// Wakes the task that looks for the upstream.
    pub probe_now: Notify,
}

impl AgentCore {
    /// Revision of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.revision()
    }

    /// What ends an exchange besides the answer.
    #[must_use]
    pub fn trailer(&self) -> Trailer {
        Trailer {
            load: Some(self.gate.load()),
            revision: self.revision(),
        }
    }

    /// Time since the store confirmed the configuration, as far as this agent heard.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        self.gate.read(Gate::configuration_age)
    }

    /// Notes what a peer says of the configuration. Only a peer that holds the same revision
    /// confirms it; a later one shows that there is something newer to fetch.
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

    /// Notes that the connection to the upstream broke under a piece of work: the upstream's
    /// process counts as lost with all its work, unless this work was part of an earlier loss.
    pub fn on_connection_broken(&self, work: AdmittedWork) {
        if work.is_current() {
            self.upstream_lost();
        }
    }

    /// Notes that the upstream's process cannot be reached.
    pub fn upstream_lost(&self) {
        if !self.is_upstream_lost.swap(true, Ordering::AcqRel) {
            warn!(self.log, "upstream lost"; "upstream" => self.name.as_str(), "step" => "run");
            metrics::counter!("oriole_upstream_lost_total").increment(1);
            self.gate.upstream_lost();
        }
        self.probe_now.notify_one();
    }

    /// Notes that the upstream can be reached, with so much work that this agent does not know.
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
