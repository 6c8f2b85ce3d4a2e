//! Lets a request wait until its stream may start.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_fleet::prelude::*;
use oriole_overload::prelude::*;
use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64;

use super::{ServiceState, Streams};
use crate::decision_log::LogEvent;
use crate::forward::request::CheckedRequest;
use crate::gateway::Gateway;

/// Time between two looks of a waiting request. An upstream's slot is free for less than a pass then.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A request that was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Why it was refused.
    pub reason: HoldReason,
    /// Time after which the caller should try again.
    pub retry_after: Duration,
}

/// Counts an admitted request among those of its account until dropped.
pub struct Admission {
    gateway: Arc<Gateway>,
    service: String,
    demand: StreamDemand,
    admitted_at: Duration,
    /// Whether it goes to a group that stands still.
    pub is_probe: bool,
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut f = f.debug_struct("Admission");
        f.field("demand", &self.demand).finish_non_exhaustive()
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let ran = self.gateway.clock.now().saturating_sub(self.admitted_at);
        let mut state = self.gateway.streams().lock();
        if let Some(service) = state.services.get_mut(&self.service) {
            let (account, tokens) = (self.demand.account, self.demand.tokens);
            service.admission.finish(account, tokens, ran);
        }
    }
}

/// Takes a waiting request out of the queue when dropped.
struct WaitGuard<'a> {
    streams: &'a Streams,
    service: &'a str,
    id: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.streams.lock();
        if let Some(service) = state.services.get_mut(self.service) {
            service.admission.leave(self.id);
        }
    }
}

impl ServiceState {
    fn conditions(&self) -> Conditions {
        Conditions {
            running: self.limit.expected(self.running),
            // Without slots it is the pick that knows whether to wait or to refuse.
            limit: self.limit.limit().filter(|_| self.slots > 0),
            slots: self.slots,
            standstill: self.standstill,
            view_age: self.view_age,
            daemons: self.daemons,
            point: rand::rng().random(),
        }
    }
}

/// Waits until the stream of a request may start. Returns `None` at once if the request is for no
/// stream of an ordered service.
///
/// # Errors
///
/// Returns why the request is refused. It has not run in that case.
pub async fn admit(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
) -> Result<Option<Admission>, Held> {
    let streams = gateway.streams();
    streams.update(gateway);
    if request.route.kind != RouteKind::Stream || !streams.is_ordered(&request.service) {
        return Ok(None);
    }
    let account = request.account.as_ref().map_or("", |a| a.name.as_str());
    let demand = StreamDemand {
        id: streams.next_id(),
        priority: request.priority,
        account: xxh3_64(account.as_bytes()),
        tokens: 1,
        objective: request.route.latency_objective,
        received_at: request.received_at,
    };
    let mut waiting = None;
    loop {
        let now = gateway.clock.now();
        let is_new = waiting.is_none();
        match streams.decide(now, &request.service, demand, is_new) {
            None => return Ok(None),
            Some(Decision::Admit { is_probe }) => {
                // It is no longer in the queue, and its place among the running ones is kept.
                return Ok(Some(Admission {
                    gateway: gateway.clone(),
                    service: request.service.clone(),
                    demand,
                    admitted_at: now,
                    is_probe,
                }));
            }
            Some(Decision::Refuse {
                reason,
                retry_after,
            }) => {
                report(gateway, request, "refused", reason, 0);
                return Err(Held {
                    reason,
                    retry_after,
                });
            }
            Some(Decision::Wait { reason, position }) => {
                if is_new {
                    report(gateway, request, "waits", reason, position);
                    waiting = Some(WaitGuard {
                        streams,
                        service: &request.service,
                        id: demand.id,
                    });
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        streams.update(gateway);
    }
}

impl Streams {
    fn next_id(&self) -> u64 {
        let mut state = self.lock();
        state.next_id += 1;
        state.next_id
    }

    fn decide(
        &self,
        now: Duration,
        service: &str,
        demand: StreamDemand,
        is_new: bool,
    ) -> Option<Decision> {
        let mut state = self.lock();
        let service = state.services.get_mut(service)?;
        let cx = service.conditions();
        let decision = if is_new {
            service.admission.offer(now, demand, &cx)
        } else {
            service.admission.poll(now, demand.id, &cx)
        };
        if matches!(decision, Decision::Admit { .. }) {
            service.running += 1;
        }
        Some(decision)
    }
}

fn report(
    gateway: &Gateway,
    request: &CheckedRequest,
    now: &'static str,
    reason: HoldReason,
    position: usize,
) {
    if now == "waits" {
        counter!("oriole_streams_held_total", "priority" => request.priority.to_string(),
            "reason" => reason.as_str())
        .increment(1);
    }
    let at = gateway.clock.now();
    let state = gateway.streams().lock();
    let Some(service) = state.services.get(&request.service) else {
        return;
    };
    let groups = state.groups.values();
    let ages = groups.filter_map(|g| g.progress.last_event_age(at));
    let event = LogEvent::StreamHeld {
        request: &request.id,
        now,
        reason: reason.as_str(),
        running: service.running,
        limit: service.limit.limit().unwrap_or_default() as u32,
        pause: service.pause.unwrap_or_default(),
        target: service.target,
        age: ages.min().unwrap_or_default(),
        rank: service.admission.rank(at, request.priority).0,
        position,
    };
    gateway.log.event(&event);
}
