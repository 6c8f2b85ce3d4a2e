//! What the VM list and the entries say.

use std::net::SocketAddr;
use std::time::Duration;

use futures::{StreamExt as _, stream};
use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::error::CtlError;
use crate::http_get::{GetError, JsonClient};

/// Path of the VM list.
const VMS_PATH: &str = "/vms";
/// Path of an entry's status.
const STATUS_PATH: &str = "/v1/status";
/// Entries asked at once.
const CONCURRENT_ASKS: usize = 32;
/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Status of an entry as far as operators' commands use it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// VM name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// State of the process.
    pub state: String,
    /// Revision in force.
    pub revision: Revision,
    /// Time since the store last confirmed the configuration, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Upstreams it uses.
    pub upstreams: Vec<UpstreamStatus>,
    /// Groups whose coordinators it hears.
    pub groups: Vec<GroupState>,
}

/// One upstream as an entry sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// VM name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Most requests in flight that its agent admits.
    pub limit: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A group as its coordinator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupState {
    /// Name.
    pub name: String,
    /// VM whose agent coordinates it.
    pub coordinator: String,
    /// Fencing number of the coordinator.
    pub fence: u64,
    /// Time since the coordinator was last heard, in milliseconds.
    pub age_ms: u64,
    /// What the coordinator is doing.
    pub phase: String,
    /// Version of the map in force; none before the first.
    pub map_version: Option<u64>,
    /// Digest of the map in force.
    pub map_digest: Option<String>,
    /// Highest step that a rank reported.
    pub step: u64,
    /// Expected step time, relative to a perfect balance.
    pub skew: f32,
    /// Ranks that are slow for longer than a stall.
    pub stragglers: Vec<usize>,
    /// Ranks without a fresh report.
    pub silent: Vec<u16>,
    /// The last change of the map.
    pub last_switch: Option<SwitchState>,
}

/// A change of a group's map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SwitchState {
    /// Version of the map.
    pub map_version: u64,
    /// Why.
    pub reason: String,
    /// Whether the map came into force.
    pub committed: bool,
    /// Why it did not.
    pub failure: Option<String>,
    /// Expected step time before, relative to a perfect balance.
    pub skew_before: f32,
    /// Expected step time after, relative to a perfect balance.
    pub skew_after: f32,
    /// Experts read from the weight store.
    pub move_count: usize,
    /// The first of them.
    pub moves: Vec<MoveState>,
}

/// An expert that a rank read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MoveState {
    /// Layer.
    pub layer: u16,
    /// Rank that read it.
    pub rank: u16,
    /// Expert.
    pub expert: u16,
    /// Expert that it replaced.
    pub evicted: u16,
}

/// An entry of the VM list and its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct PolledEntry {
    /// The VM.
    pub vm: VmRecord,
    /// Its answer.
    pub status: Result<EntryStatus, GetError>,
}

/// How a revision came into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct InForceReport {
    /// Entries that hold it; all of them.
    pub entries: usize,
    /// Time from the first question to the last answer, in milliseconds.
    pub after_ms: u64,
}

/// Asks the VM list and the entries.
#[derive(Clone, Debug)]
pub struct FleetClient {
    vm_list: SocketAddr,
    client: JsonClient,
}

impl FleetClient {
    /// A client of the VM list at an address, with a timeout for each answer.
    #[must_use]
    pub fn new(vm_list: SocketAddr, longest: Duration) -> Self {
        let client = JsonClient::new(longest);
        Self { vm_list, client }
    }

    /// The VM list.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer in time.
    pub async fn vms(&self) -> Result<VmList, StepError<GetError>> {
        let list = self.client.get(self.vm_list, VMS_PATH).await;
        list.map_err(|e| StepError::new("read VMs", Peer::VmList, e))
    }

    /// All entries that are not leaving, with what they say.
    ///
    /// # Errors
    ///
    /// Fails if the VM list does not answer; an entry that does not is listed with the reason.
    pub async fn entries(&self) -> Result<Vec<PolledEntry>, StepError<GetError>> {
        let vms = self.vms().await?.vms.into_iter();
        let entries = vms.filter(|vm| vm.role == VmRole::Entry && vm.state == VmState::Live);
        let asked = entries.map(|vm| async move {
            let status = self.client.get(vm.address, STATUS_PATH).await;
            PolledEntry { vm, status }
        });
        let mut asked: Vec<_> = stream::iter(asked)
            .buffer_unordered(CONCURRENT_ASKS)
            .collect()
            .await;
        asked.sort_by(|a, b| a.vm.name.cmp(&b.vm.name));
        Ok(asked)
    }

    /// Waits until every entry holds a revision or a newer one.
    ///
    /// # Errors
    ///
    /// Fails with those that do not when the time is over.
    pub async fn wait_until_in_force(
        &self,
        revision: Revision,
        longest: Duration,
    ) -> Result<InForceReport, CtlError> {
        let began = Instant::now();
        loop {
            let missing = match self.entries().await {
                Ok(entries) => {
                    let missing = missing(&entries, revision);
                    if missing.is_empty() {
                        return Ok(InForceReport {
                            entries: entries.len(),
                            after_ms: began.elapsed().as_millis() as u64,
                        });
                    }
                    missing
                }
                Err(e) => vec![e.to_string()],
            };
            if began.elapsed() + ROUND_PAUSE > longest {
                return Err(CtlError::NotInForce { revision, missing });
            }
            sleep(ROUND_PAUSE).await;
        }
    }
}

fn missing(entries: &[PolledEntry], revision: Revision) -> Vec<String> {
    let lacks = entries.iter().filter_map(|e| match &e.status {
        Ok(status) if status.revision >= revision => None,
        Ok(status) => Some(format!("{} (revision {})", e.vm.name, status.revision)),
        Err(reason) => Some(format!("{} ({reason})", e.vm.name)),
    });
    lacks.collect()
}
