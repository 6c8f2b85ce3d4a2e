//! The VM list through relays, so that the platform is not read by every process.
//!
//! The first processes of each failure domain, in an order that all work out alike, read the
//! platform's list; all others hold a long poll at one of them.

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

/// Name of the service that answers with the VM list.
pub const VM_LIST_SERVICE: &str = "vm_list";

/// Processes of a failure domain that read the platform's list.
const RELAYS_PER_DOMAIN: usize = 2;

/// Wait of a poll at a relay.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Time for an answer beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Question for the VM list.
#[derive(Clone, Copy, PartialEq, Message)]
struct ListAsk {
    /// Version that the asker holds.
    #[prost(uint64, tag = "1")]
    have: u64,
    /// Longest wait for a newer one, in milliseconds.
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

/// The VM list, from a relay of the own failure domain or from the platform.
pub struct RelayedVmList {
    me: VmName,
    domain: DomainName,
    platform: Arc<dyn VmListSource>,
    channels: Arc<ChannelPool>,
    held: Mutex<Arc<VmList>>,
}

impl RelayedVmList {
    /// A source for one process.
    #[must_use]
    pub fn new(
        me: VmName,
        domain: DomainName,
        platform: Arc<dyn VmListSource>,
        channels: Arc<ChannelPool>,
    ) -> Self {
        Self {
            me,
            domain,
            platform,
            channels,
            held: Mutex::default(),
        }
    }

    async fn ask_relays(&self, held: &VmList) -> Option<VmList> {
        for relay in relays(held, &self.domain) {
            if relay.name == self.me {
                return None;
            }
            if let Some(list) = self.ask(relay, held.version).await {
                return Some(list);
            }
            metrics::counter!("oriole_vm_list_relay_failed_total").increment(1);
        }
        None
    }

    /// The relay's list if it is newer, or the one held already.
    async fn ask(&self, relay: &VmRecord, have: u64) -> Option<VmList> {
        let channel = self.channels.get(relay.peer_address).await.ok()?;
        let wait_ms = u64::try_from(POLL_WAIT.as_millis()).ok()?;
        let ask = ListAsk { have, wait_ms };
        let payload = ask.encode_to_vec().into();
        let wait = POLL_WAIT + ANSWER_MARGIN;
        let answer = channel.call(VM_LIST_SERVICE, payload, wait).await.ok()?;
        if answer.is_empty() {
            return Some(self.held().as_ref().clone());
        }
        serde_json::from_slice(&answer).ok()
    }

    fn held(&self) -> Arc<VmList> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held)
    }
}

#[async_trait]
impl VmListSource for RelayedVmList {
    async fn fetch(&self) -> Result<VmList, VmListError> {
        let held = self.held();
        let list = match self.ask_relays(&held).await {
            Some(list) => list,
            None => self.platform.fetch().await?,
        };
        if list.version > held.version {
            let list = Arc::new(list.clone());
            *self.held.lock().unwrap_or_else(PoisonError::into_inner) = list;
        }
        Ok(list)
    }
}

/// The relays of a failure domain, best first.
fn relays<'a>(list: &'a VmList, domain: &DomainName) -> Vec<&'a VmRecord> {
    let mut members: Vec<&VmRecord> = list.vms.iter().filter(|r| r.domain == *domain).collect();
    members.sort_by_key(|r| Reverse(xxh3_64(r.name.as_str().as_bytes())));
    members.truncate(RELAYS_PER_DOMAIN);
    members
}

/// Answers a peer's call for the VM list; empty if nothing is newer.
///
/// # Errors
///
/// Fails if the question cannot be read.
pub async fn serve_vm_list(follower: &VmListFollower, payload: Bytes) -> Result<Bytes, String> {
    let ask = ListAsk::decode(payload).map_err(|e| e.to_string())?;
    let wait = Duration::from_millis(ask.wait_ms).min(POLL_WAIT);
    let list = follower.wait_for_newer(ask.have, wait).await;
    if list.version <= ask.have {
        return Ok(Bytes::new());
    }
    let text = serde_json::to_vec(&*list).map_err(|e| e.to_string())?;
    Ok(text.into())
}
