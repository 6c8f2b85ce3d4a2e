//! Reads the VM list through relays, so that not every process reads it from the platform.
//!
//! In each failure domain a few processes are relays and read the platform's list. All others long-poll
//! a relay. Relays are chosen by the hash of their name, so that all processes with the same list
//! choose the same ones.

use std::cmp::Reverse;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::fleet::{VmList, VmRecord};
use oriole_types::ids::{DomainName, VmName};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::pool::ChannelPool;
use crate::vm_list::{VmListError, VmListFollower, VmListSource};

/// Name of the call service that returns the VM list.
pub const VM_LIST_SERVICE: &str = "vm_list";

/// Number of processes per failure domain that read the platform's list.
const RELAYS_PER_DOMAIN: usize = 2;

/// Time that a relay waits for a newer list before it answers.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Time allowed for an answer in addition to the wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Request for a newer VM list (a long poll).
#[derive(Clone, Copy, PartialEq, Message)]
struct VmListRequest {
    /// Version that the requesting process has.
    #[prost(uint64, tag = "1")]
    known_version: u64,
    /// Maximum time to wait for a newer version, in milliseconds.
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

/// Reads the VM list from a relay of the own failure domain, or else from the platform.
pub struct RelayedVmList {
    /// VM of this process.
    local_vm: VmName,
    domain: DomainName,
    platform: Arc<dyn VmListSource>,
    channels: Arc<ChannelPool>,
    /// The newest list received.
    latest: Mutex<Arc<VmList>>,
}

impl RelayedVmList {
    /// Creates a source for the process on the VM `local_vm`.
    #[must_use]
    pub fn new(
        local_vm: VmName,
        domain: DomainName,
        platform: Arc<dyn VmListSource>,
        channels: Arc<ChannelPool>,
    ) -> Self {
        Self {
            local_vm,
            domain,
            platform,
            channels,
            latest: Mutex::default(),
        }
    }

    /// The list from the first relay that answers. `None` if none does or this process is a relay
    /// itself; the platform has to be read then.
    async fn fetch_from_relays(&self, latest: &VmList) -> Option<VmList> {
        for relay in relays(latest, &self.domain) {
            if relay.name == self.local_vm {
                return None;
            }
            if let Some(list) = self.poll_relay(relay, latest.version).await {
                return Some(list);
            }
            metrics::counter!("oriole_vm_list_relay_failed_total").increment(1);
        }
        None
    }

    /// The newest list known to the relay or this process; `None` if the relay does not answer.
    async fn poll_relay(&self, relay: &VmRecord, known_version: u64) -> Option<VmList> {
        let channel = self.channels.get(relay.peer_address).await.ok()?;
        let wait_ms = u64::try_from(POLL_WAIT.as_millis()).ok()?;
        let request = VmListRequest {
            known_version,
            wait_ms,
        };
        let payload = request.encode_to_vec().into();
        let answer_timeout = POLL_WAIT + ANSWER_MARGIN;
        let answer = channel
            .call(VM_LIST_SERVICE, payload, answer_timeout)
            .await
            .ok()?;
        if answer.is_empty() {
            return Some(self.latest().as_ref().clone());
        }
        serde_json::from_slice(&answer).ok()
    }

    fn latest(&self) -> Arc<VmList> {
        let latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&latest)
    }
}

#[async_trait]
impl VmListSource for RelayedVmList {
    async fn fetch(&self) -> Result<VmList, VmListError> {
        let latest = self.latest();
        let list = match self.fetch_from_relays(&latest).await {
            Some(list) => list,
            None => self.platform.fetch().await?,
        };
        if list.version > latest.version {
            let list = Arc::new(list.clone());
            *self.latest.lock().unwrap_or_else(PoisonError::into_inner) = list;
        }
        Ok(list)
    }
}

/// The relays of a failure domain, in the order in which they are tried.
fn relays<'a>(list: &'a VmList, domain: &DomainName) -> Vec<&'a VmRecord> {
    let mut members: Vec<&VmRecord> = list.vms.iter().filter(|r| r.domain == *domain).collect();
    members.sort_by_key(|r| Reverse(xxh3_64(r.name.as_str().as_bytes())));
    members.truncate(RELAYS_PER_DOMAIN);
    members
}

/// Answers a peer's call of [`VM_LIST_SERVICE`]. The answer is empty if there is no newer list.
///
/// # Errors
///
/// Fails if the request cannot be decoded.
pub async fn serve_vm_list(follower: &VmListFollower, payload: Bytes) -> Result<Bytes, String> {
    let request = VmListRequest::decode(payload).map_err(|e| e.to_string())?;
    let wait = Duration::from_millis(request.wait_ms).min(POLL_WAIT);
    let list = follower.wait_for_newer(request.known_version, wait).await;
    if list.version <= request.known_version {
        return Ok(Bytes::new());
    }
    let json = serde_json::to_vec(&*list).map_err(|e| e.to_string())?;
    Ok(json.into())
}
