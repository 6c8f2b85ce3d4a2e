//! Reads the VM list and the status of the entries.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{StreamExt as _, stream};
use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::error::CtlError;
use crate::http_get::{GetError, JsonClient};

/// HTTP path of the VM list.
const VMS_PATH: &str = "/vms";
/// HTTP path of an entry's status.
const STATUS_PATH: &str = "/v1/status";
/// Entries that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Pause between two polls of all entries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Status of an entry, limited to the fields that the commands use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// VM name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// State of the entry process, such as `serving`.
    pub state: String,
    /// Catalog revision that the entry uses.
    pub revision: Revision,
    /// Time since the store last confirmed the configuration, in milliseconds; `None` if unknown.
    pub config_age_ms: Option<u64>,
    /// Upstreams that the entry uses.
    pub upstreams: Vec<UpstreamStatus>,
    /// Groups from whose coordinators the entry receives reports.
    pub groups: Vec<GroupState>,
}

/// One upstream as an entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// VM name.
    pub name: String,
    /// Pool that it serves.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Maximum number of requests in flight that its agent admits.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// State of a group as its coordinator reports it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupState {
    /// Name of the group.
    pub name: String,
    /// VM whose agent coordinates it.
    pub coordinator: String,
    /// Fencing token of the coordinator; a later coordinator has a higher one.
    pub fence: u64,
    /// Age of the coordinator's last report, in milliseconds.
    pub age_ms: u64,
    /// Phase of the coordinator, such as `steady`.
    pub phase: String,
    /// Version of the map in force; `None` before the first.
    pub map_version: Option<u64>,
    /// Digest of the map in force; `None` before the first.
    pub map_digest: Option<String>,
    /// Highest step that a rank reported.
    pub step: u64,
    /// Expected step time, relative to a perfect balance.
    pub skew: f32,
    /// Ranks that have been slow for longer than a momentary stall.
    pub stragglers: Vec<usize>,
    /// Ranks without a recent report.
    pub silent: Vec<u16>,
    /// The last change of the map; `None` before the first.
    pub last_switch: Option<SwitchState>,
}

/// A change of a group's map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SwitchState {
    /// Version of the new map.
    pub map_version: u64,
    /// Reason for the change.
    pub reason: String,
    /// Whether the map came into force.
    pub committed: bool,
    /// Cause if the map did not come into force.
    pub failure: Option<String>,
    /// Expected step time before, relative to a perfect balance.
    pub skew_before: f32,
    /// Expected step time after, relative to a perfect balance.
    pub skew_after: f32,
    /// Number of experts that ranks read from the weight store.
    pub move_count: usize,
    /// The first of these moves; the list may be shorter than `move_count`.
    pub moves: Vec<MoveState>,
}

/// An expert that a rank read from the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MoveState {
    /// Layer of the expert.
    pub layer: u16,
    /// Rank that read it.
    pub rank: u16,
    /// Expert that was read.
    pub expert: u16,
    /// Expert that it replaced.
    pub evicted: u16,
}

/// An entry VM with its answer to a status query.
#[derive(Clone, Debug, PartialEq)]
pub struct PolledEntry {
    /// Record of the VM list.
    pub vm: VmRecord,
    /// Status, or why there is none.
    pub status: Result<EntryStatus, GetError>,
}

/// Confirmation that every entry uses a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// Number of entries, all of which use it.
    pub entries: usize,
    /// Time from the first query to the last answer, in milliseconds.
    pub after_ms: u64,
}

/// Client of the VM list and the entries.
#[derive(Clone, Debug)]
pub struct FleetClient {
    vm_list: SocketAddr,
    client: JsonClient,
}

impl FleetClient {
    /// Creates a client of the VM list at an address; `timeout` limits each answer.
    #[must_use]
    pub fn new(vm_list: SocketAddr, timeout: Duration) -> Self {
        let client = JsonClient::new(timeout);
        Self { vm_list, client }
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer in time.
    pub async fn vms(&self) -> Result<VmList, StepError<GetError>> {
        let list = self.client.get(self.vm_list, VMS_PATH).await;
        list.map_err(|e| StepError::new("read VMs", Peer::VmList, e))
    }

    /// Queries the status of all live entries, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if the VM list does not answer. An entry that does not answer is returned with the
    /// reason.
    pub async fn entries(&self) -> Result<Vec<PolledEntry>, StepError<GetError>> {
        let vms = self.vms().await?.vms.into_iter();
        let entries = vms.filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live);
        let queries = entries.map(|vm| async move {
            let status = self.client.get(vm.address, STATUS_PATH).await;
            PolledEntry { vm, status }
        });
        let mut polled: Vec<_> = stream::iter(queries)
            .buffer_unordered(MAX_CONCURRENT_QUERIES)
            .collect()
            .await;
        polled.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        Ok(polled)
    }

    /// Waits until every live entry uses a revision or a newer one.
    ///
    /// # Errors
    ///
    /// Fails after the timeout with the entries that do not use it.
    pub async fn wait_until_in_force(
        &self,
        revision: Revision,
        timeout: Duration,
    ) -> Result<InForceReport, CtlError> {
        let started = Instant::now();
        loop {
            let missing = match self.entries().await {
                Ok(entries) => {
                    let missing = entries_behind(&entries, revision);
                    if missing.is_empty() {
                        return Ok(InForceReport {
                            entries: entries.len(),
                            after_ms: started.elapsed().as_millis() as u64,
                        });
                    }
                    missing
                }
                Err(e) => vec![e.to_string()],
            };
            if started.elapsed() + POLL_INTERVAL > timeout {
                return Err(CtlError::NotInForce { revision, missing });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Entries that use an older revision or do not answer, each with the reason.
fn entries_behind(entries: &[PolledEntry], revision: Revision) -> Vec<String> {
    let behind = entries.iter().filter_map(|e| match &e.status {
        Ok(status) if status.revision >= revision => None,
        Ok(status) => Some(format!("{} (revision {})", e.vm.name, status.revision)),
        Err(reason) => Some(format!("{} ({reason})", e.vm.name)),
    });
    behind.collect()
}
