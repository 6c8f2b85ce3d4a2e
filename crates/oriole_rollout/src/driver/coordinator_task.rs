//! The task of a candidate coordinator: its election and, once elected, the coordinator.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use metrics::counter;
use oriole_placement::shape::{GroupShape, ShapeError};
use oriole_store::prelude::{Precondition, Store, StoreError, StoreVersion};
use oriole_types::ids::{Fence, GroupName, Incarnation};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{GroupTransport, INBOX_CAPACITY, TICK_INTERVAL};
use crate::coordinator::{CoordinatorAction, CoordinatorConfig, GroupCoordinator};
use crate::election::{
    Election, ElectionConfig, FenceRecord, LeadershipChange, StoreOp, StoreReply,
};
use crate::messages::{Envelope, Party};
use crate::status::GroupStatus;

/// Settings of a candidate coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Settings that apply once the candidate is elected.
    pub coordinator: CoordinatorConfig,
    /// Settings of the election.
    pub election: ElectionConfig,
    /// Name of the group.
    pub group: GroupName,
    /// Numbers of ranks, experts, layers and slots, and related sizes.
    pub shape: GroupShape,
    /// Run of this process.
    pub incarnation: Incarnation,
}

/// A running candidate; dropping the handle aborts its tasks.
pub struct CoordinatorHandle {
    tx: mpsc::Sender<Envelope>,
    status: watch::Receiver<Option<GroupStatus>>,
    _tasks: JoinSet<()>,
}

impl CoordinatorHandle {
    /// Delivers a message to the coordinator; it is dropped if too many are waiting.
    pub fn deliver(&self, envelope: Envelope) {
        if self.tx.try_send(envelope).is_err() {
            counter!("oriole_group_refusals_total", "reason" => "inbox_full").increment(1);
        }
    }

    /// State of the group for operators; `None` while this process does not coordinate it.
    #[must_use]
    pub fn status(&self) -> Option<GroupStatus> {
        self.status.borrow().clone()
    }
}

/// Starts a candidate coordinator.
///
/// # Errors
///
/// Fails if no placement exists for the group's sizes.
pub fn spawn_coordinator(
    settings: CoordinatorSettings,
    store: Arc<dyn Store>,
    transport: Arc<dyn GroupTransport>,
) -> Result<CoordinatorHandle, ShapeError> {
    settings.shape.check()?;
    let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
    let (ops_tx, ops_rx) = mpsc::channel(1);
    let (replies_tx, replies_rx) = mpsc::channel(1);
    let (status_tx, status) = watch::channel(None);
    let election = Election::new(
        settings.election,
        settings.group.clone(),
        settings.incarnation,
    );
    let task = CoordinatorTask {
        settings,
        election,
        coordinator: None,
        ops: ops_tx,
        transport,
        status: status_tx,
        start: Instant::now(),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(call_store(store, ops_rx, replies_tx));
    tasks.spawn(task.run(rx, replies_rx));
    Ok(CoordinatorHandle {
        tx,
        status,
        _tasks: tasks,
    })
}

/// Makes the calls to the store one at a time, so that a slow store does not block the candidate.
async fn call_store(
    store: Arc<dyn Store>,
    mut ops: mpsc::Receiver<StoreOp>,
    replies: mpsc::Sender<StoreReply>,
) {
    while let Some(op) = ops.recv().await {
        let reply = call(&*store, op).await.unwrap_or_else(StoreReply::Failed);
        if replies.send(reply).await.is_err() {
            return;
        }
    }
}

async fn call(store: &dyn Store, op: StoreOp) -> Result<StoreReply, StoreError> {
    match op {
        StoreOp::Grant(ttl) => store.grant_lease(ttl).await.map(StoreReply::Granted),
        StoreOp::PutLeased(key, incarnation, lease) => {
            let value = Bytes::from(incarnation.to_string());
            let written = store
                .put_leased(&key, value, Precondition::Absent, lease)
                .await;
            written.map(|_| StoreReply::Done)
        }
        StoreOp::ReadFence(key) => {
            let found = store.get(&key).await?;
            let record = found
                .map(|v| decode_fence(&v.value, v.version))
                .transpose()?;
            Ok(StoreReply::Fence(record))
        }
        StoreOp::PutFence(key, record, expect) => {
            let value =
                serde_json::to_vec(&record).map_err(|e| StoreError::Malformed(e.to_string()))?;
            store.put(&key, value.into(), expect).await?;
            Ok(StoreReply::Done)
        }
        StoreOp::Renew(lease) => store.renew_lease(lease).await.map(|()| StoreReply::Done),
    }
}

fn decode_fence(
    value: &[u8],
    version: StoreVersion,
) -> Result<(FenceRecord, StoreVersion), StoreError> {
    let record = serde_json::from_slice(value);
    let record = record.map_err(|e| StoreError::Malformed(e.to_string()))?;
    Ok((record, version))
}

struct CoordinatorTask {
    settings: CoordinatorSettings,
    election: Election,
    coordinator: Option<GroupCoordinator>,
    ops: mpsc::Sender<StoreOp>,
    transport: Arc<dyn GroupTransport>,
    status: watch::Sender<Option<GroupStatus>>,
    start: Instant,
}

impl CoordinatorTask {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Envelope>,
        mut replies: mpsc::Receiver<StoreReply>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                envelope = rx.recv() => match envelope {
                    Some(envelope) => self.on_message(envelope),
                    None => return,
                },
                reply = replies.recv() => match reply {
                    Some(reply) => {
                        let next = self.election.on_reply(self.now(), reply);
                        self.apply_election(next);
                    }
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn on_tick(&mut self) {
        let now = self.now();
        let next = self.election.on_tick(now);
        self.apply_election(next);
        if let Some(c) = &mut self.coordinator {
            let actions = c.on_tick(now);
            self.carry_out(actions);
        }
    }

    fn on_message(&mut self, envelope: Envelope) {
        let now = self.now();
        if let Some(c) = &mut self.coordinator {
            let actions = c.on_message(now, envelope);
            self.carry_out(actions);
        }
    }

    /// Applies a change of leadership and makes the next call to the store.
    fn apply_election(&mut self, (op, change): (Option<StoreOp>, Option<LeadershipChange>)) {
        match change {
            Some(LeadershipChange::Won(fence)) => self.start_coordinating(fence),
            Some(LeadershipChange::Lost) => self.stop_coordinating(),
            None => {}
        }
        // There is at most one call at a time, so the channel has capacity.
        if let Some(op) = op {
            let _ = self.ops.try_send(op);
        }
    }

    fn start_coordinating(&mut self, fence: Fence) {
        let s = &self.settings;
        let new = GroupCoordinator::new(
            s.coordinator.clone(),
            s.group.clone(),
            s.shape.clone(),
            fence,
        );
        self.coordinator = new.ok();
        let now = self.now();
        let status = self.coordinator.as_ref().map(|c| c.status(now));
        self.status.send_replace(status);
    }

    fn stop_coordinating(&mut self) {
        self.coordinator = None;
        self.status.send_replace(None);
    }

    fn carry_out(&mut self, actions: Vec<CoordinatorAction>) {
        let Some(fence) = self.coordinator.as_ref().map(GroupCoordinator::fence) else {
            return;
        };
        for action in actions {
            match action {
                CoordinatorAction::Send(rank, message) => {
                    let envelope = Envelope {
                        from: Party::Coordinator(fence),
                        incarnation: self.settings.incarnation,
                        message,
                    };
                    self.transport.send(Party::Rank(rank), envelope);
                }
                CoordinatorAction::Publish(status) => {
                    self.status.send_replace(Some(*status));
                }
                CoordinatorAction::StepDown(_) => {
                    self.election.step_down(self.now());
                    return self.stop_coordinating();
                }
            }
        }
    }
}
