//! The agent's tasks: its engine's reports, its peers' datagrams, the group's addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr as _;
use metrics::{counter, gauge};
use oriole_fleet::prelude::*;
use oriole_kernel::clock::Clock;
use oriole_kernel::{metrics_port, sockets};
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use prost::Message as _;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::follower::{Follower, next_order};
use crate::leader::{Leader, LeaderAction, LeaderConfig, Phase};
use crate::message::{Datagram, Experts, Intent, Status, pick_parts};
use crate::rescue::{self, RescueStep, StillWatch};
use crate::settings::RankAgentSettings;

/// Time between reports while nothing changes.
const REPORT_EVERY: Duration = Duration::from_millis(120);

/// Time between reports while a change is under way.
const REPORT_OFTEN: Duration = Duration::from_millis(30);

/// Time between reads of the counts.
const COUNTS_EVERY: Duration = Duration::from_millis(150);

/// Time between reads of the counts for each rank of the group: the leader's link carries them all.
const COUNTS_EVERY_RANK: Duration = Duration::from_millis(6);

/// Time for which an intent holds; the leader repeats it while it does.
const INTENT_FOR: Duration = Duration::from_millis(400);

/// Time between reads of the group's addresses.
const ADDRESSES_EVERY: Duration = Duration::from_secs(4);

/// Pauses between tries to read what is needed at the start.
const AGAIN: Backoff = Backoff {
    first: Duration::from_millis(400),
    max: Duration::from_secs(4),
};

/// Looks at all engines in one try to let a held group go on.
const RESCUE_LOOKS: usize = 3;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 64 * 1024;

/// What the agent is put together from.
pub struct AgentParts {
    /// The engine beside it.
    pub engine: Arc<dyn ExpertEngine>,
    /// Engines of other ranks, by address.
    pub engine_at: Box<dyn Fn(SocketAddr) -> Arc<dyn ExpertEngine> + Send + Sync>,
    /// The platform's names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
}

#[derive(Default)]
struct Shared {
    intent: Option<(Intent, Duration)>,
    /// Engines of the group's ranks; the agents are on the same VMs.
    ranks: HashMap<usize, SocketAddr>,
    group: String,
}

struct Agent {
    cfg: RankAgentSettings,
    parts: AgentParts,
    log: Logger,
    clock: Clock,
    udp: UdpSocket,
    wake: Notify,
    shared: Mutex<Shared>,
    leader: Mutex<Leader>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running agent.
pub struct RankAgent {
    stop: CancellationToken,
    log: Logger,
}

impl RankAgent {
    /// Listens for its peers and follows its engine.
    ///
    /// # Errors
    ///
    /// Fails if the address is not the process's to use.
    pub async fn bind(
        cfg: RankAgentSettings,
        parts: AgentParts,
        log: Logger,
    ) -> eyre::Result<Self> {
        let udp = UdpSocket::bind(cfg.listen)
            .await
            .wrap_err("listen for agents")?;
        let metrics = sockets::listen(cfg.metrics).wrap_err("listen for metrics")?;
        let agent = Arc::new(Agent {
            clock: Clock::start(),
            log: log.clone(),
            udp,
            wake: Notify::new(),
            shared: Mutex::new(Shared::default()),
            leader: Mutex::new(Leader::new(LeaderConfig::default(), rand::random())),
            cfg,
            parts,
        });
        let stop = CancellationToken::new();
        metrics_port::spawn(metrics, stop.clone());
        info!(log, "started"; "engine" => agent.cfg.engine.to_string());
        for task in [
            tokio::spawn(follow_engine(agent.clone())),
            tokio::spawn(receive(agent.clone())),
            tokio::spawn(learn(agent)),
        ] {
            let stop = stop.clone();
            tokio::spawn(async move {
                stop.cancelled().await;
                task.abort();
            });
        }
        Ok(Self { stop, log })
    }

    /// Notes that the settings file was read again.
    pub fn reloaded(&self, outcome: &str) {
        info!(self.log, "reloaded"; "outcome" => outcome);
    }

    /// Ends the tasks. A change under way is gone on with by the next run.
    pub fn shutdown(self) {
        info!(self.log, "stopped");
        self.stop.cancel();
    }
}

async fn receive(agent: Arc<Agent>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (len, from) = match agent.udp.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                warn!(agent.log, "call failed"; "step" => "receive", "error" => e.to_string());
                continue;
            }
        };
        let datagram = match Datagram::decode(&buf[..len]) {
            Ok(datagram) => datagram,
            Err(e) => {
                warn!(agent.log, "call failed"; "step" => "decode", "peer" => from.to_string(),
                    "error" => e.to_string());
                continue;
            }
        };
        let now = agent.clock.now();
        if let Some(intent) = datagram.intent {
            lock(&agent.shared).intent = Some((intent, now));
            agent.wake.notify_one();
        }
        if let Some(status) = datagram.status {
            let mut leader = lock(&agent.leader);
            leader.heard(now, status);
            if *leader.phase() != Phase::Idle {
                agent.wake.notify_one();
            }
        }
    }
}

/// What the agent keeps of its engine between reports.
#[derive(Default)]
struct EngineView {
    follower: Follower,
    epoch: u64,
    counts: Option<ExpertCounts>,
    counts_at: Option<Duration>,
    placed: Option<(u64, u64, Vec<Experts>)>,
    picks: Vec<u32>,
    still: StillWatch,
    is_lost: bool,
}

impl EngineView {
    /// Number of layer sets, known once the map was read.
    fn sets(&self) -> usize {
        self.placed.as_ref().map_or(0, |(_, _, sets)| sets.len())
    }
}

async fn follow_engine(agent: Arc<Agent>) {
    let mut view = EngineView::default();
    loop {
        let is_busy = match agent.parts.engine.report().await {
            Ok(report) => {
                if std::mem::take(&mut view.is_lost) {
                    info!(agent.log, "engine"; "now" => "regained");
                }
                agent.step(&mut view, report).await
            }
            Err(e) => {
                if !std::mem::replace(&mut view.is_lost, true) {
                    warn!(agent.log, "engine"; "now" => "lost", "error" => e.to_string());
                }
                false
            }
        };
        let pause = if is_busy { REPORT_OFTEN } else { REPORT_EVERY };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = agent.wake.notified() => {}
        }
    }
}

impl Agent {
    /// One round: tell the leader, follow its intent, lead. Whether a change is under way.
    async fn step(&self, view: &mut EngineView, report: EngineReport) -> bool {
        if report.epoch != view.epoch {
            info!(self.log, "group"; "group" => &report.group, "epoch" => report.epoch,
                "rank" => report.rank, "ranks" => report.ranks, "open" => report.open);
            *view = EngineView {
                epoch: report.epoch,
                ..EngineView::default()
            };
        }
        lock(&self.shared).group.clone_from(&report.group);
        self.read_placed(view, &report).await;
        self.read_counts(view, &report).await;
        self.tell_status(view, &report).await;
        let is_following = self.follow(view, &report).await;
        if view.still.is_due(self.clock.now(), &report) {
            self.rescue(&report).await;
        }
        let is_leading = report.rank == 0 && self.lead(report).await;
        is_following || is_leading
    }

    async fn read_counts(&self, view: &mut EngineView, report: &EngineReport) {
        let now = self.clock.now();
        let pause = COUNTS_EVERY.max(COUNTS_EVERY_RANK * report.ranks as u32);
        if view.counts_at.is_some_and(|at| now < at + pause) {
            return;
        }
        view.counts_at = Some(now);
        match self.parts.engine.counts().await {
            Ok(counts) => {
                if let Some(last) = &view.counts
                    && last.counts.len() == counts.counts.len()
                {
                    let choices = counts.counts.iter().zip(&last.counts);
                    let choices = choices.map(|(new, old)| new.saturating_sub(*old));
                    let choices: Vec<u64> = choices.collect();
                    if choices.iter().any(|c| *c > 0) {
                        view.picks = pick_parts(&choices, view.sets());
                    }
                }
                view.counts = Some(counts);
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "counts", "error" => e.to_string());
            }
        }
    }

    async fn read_placed(&self, view: &mut EngineView, report: &EngineReport) {
        let is_known = view
            .placed
            .as_ref()
            .is_some_and(|(epoch, v, _)| *epoch == report.epoch && *v == report.map_version);
        if is_known {
            return;
        }
        match self.parts.engine.placed().await {
            Ok(sets) => {
                let sets = sets.iter().map(|s| Experts::from(s.as_slice())).collect();
                view.placed = Some((report.epoch, report.map_version, sets));
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "placed", "error" => e.to_string());
            }
        }
    }

    async fn tell_status(&self, view: &mut EngineView, report: &EngineReport) {
        let placed = view
            .placed
            .as_ref()
            .filter(|(_, v, _)| *v == report.map_version);
        let status = Status {
            group: report.group.clone(),
            epoch: report.epoch,
            rank: report.rank as u32,
            ranks: report.ranks as u32,
            pass: report.pass,
            map_version: report.map_version,
            prepared: report.prepared,
            armed: report.armed,
            refused: view.follower.refused,
            open: report.open,
            pace: report.pace,
            preparing: view.follower.preparing(report.epoch),
            picks: std::mem::take(&mut view.picks),
            placed: placed.map_or_else(Vec::new, |(_, _, sets)| sets.clone()),
        };
        if report.rank == 0 {
            let now = self.clock.now();
            let mut leader = lock(&self.leader);
            // The group that the status belongs to has to be known first.
            leader.reported(now, report.clone());
            leader.heard(now, status);
            return;
        }
        let datagram = Datagram {
            status: Some(status),
            intent: None,
        };
        self.send(0, &datagram).await;
    }

    async fn send(&self, rank: usize, datagram: &Datagram) {
        let Some(engine) = lock(&self.shared).ranks.get(&rank).copied() else {
            return;
        };
        let target = SocketAddr::new(engine.ip(), self.cfg.listen.port());
        if let Err(e) = self.udp.send_to(&datagram.encode_to_vec(), target).await {
            warn!(self.log, "call failed"; "step" => "send", "peer" => target.to_string(),
                "error" => e.to_string());
        }
    }

    async fn follow(&self, view: &mut EngineView, report: &EngineReport) -> bool {
        let now = self.clock.now();
        let intent = {
            let shared = lock(&self.shared);
            let fresh = shared.intent.as_ref();
            fresh
                .filter(|(_, at)| now < *at + INTENT_FOR)
                .map(|(intent, _)| intent.clone())
        };
        let Some(intent) = intent else { return false };
        if let Some(order) = next_order(now, report, &intent, &view.follower) {
            let end = self.order(report.epoch, &order).await;
            let now = self.clock.now();
            view.follower.ended(now, report.epoch, &order, end);
            // The leader waits to hear what came of it.
            self.wake.notify_one();
        }
        true
    }

    /// Takes a change forward whose leader is silent while its pass is held.
    async fn rescue(&self, own: &EngineReport) {
        let engines: Option<Vec<_>> = {
            let shared = lock(&self.shared);
            let addresses = (0..own.ranks).map(|r| shared.ranks.get(&r).copied());
            addresses.map(|a| a.map(&self.parts.engine_at)).collect()
        };
        let Some(engines) = engines else {
            warn!(self.log, "rescue"; "outcome" => "addresses are missing");
            return;
        };
        // One look to arm the others, one to see that they are, and one more after a lost answer.
        for _ in 0..RESCUE_LOOKS {
            let mut reports = Vec::with_capacity(engines.len());
            for engine in &engines {
                match engine.report().await {
                    Ok(report) => reports.push(report),
                    Err(e) => {
                        warn!(self.log, "rescue"; "outcome" => "an engine is silent",
                            "rank" => reports.len(), "error" => e.to_string());
                        return;
                    }
                }
            }
            let step = rescue::next_step(&reports);
            info!(self.log, "rescue"; "outcome" => format!("{step:?}"), "pass" => own.pass,
                "epoch" => own.epoch);
            counter!("oriole_rescues_total").increment(1);
            match step {
                RescueStep::Nothing(_) => return,
                RescueStep::Arm {
                    version,
                    pass,
                    ranks,
                } => {
                    let order = EngineOrder::Arm { version, pass };
                    for rank in ranks {
                        self.order_at(engines[rank].as_ref(), own.epoch, &order)
                            .await;
                    }
                }
                RescueStep::Go { pass } => {
                    let order = EngineOrder::Go { pass };
                    self.order_at(engines[0].as_ref(), own.epoch, &order).await;
                    return;
                }
            }
        }
    }

    async fn order(&self, epoch: u64, order: &EngineOrder) -> Option<OrderEnd> {
        self.order_at(self.parts.engine.as_ref(), epoch, order)
            .await
    }

    async fn order_at(
        &self,
        engine: &dyn ExpertEngine,
        epoch: u64,
        order: &EngineOrder,
    ) -> Option<OrderEnd> {
        let outcome = engine.order(epoch, order).await;
        let kind = match order {
            EngineOrder::Prepare { .. } => "prepare",
            EngineOrder::Arm { .. } => "arm",
            EngineOrder::Hold { .. } => "hold",
            EngineOrder::Go { .. } => "go",
        };
        let (end, reason) = match &outcome {
            Ok(OrderEnd::Accepted) => (Some(OrderEnd::Accepted), "accepted".to_owned()),
            Ok(OrderEnd::Refused) => (Some(OrderEnd::Refused), "refused".to_owned()),
            Err(e) => (None, e.to_string()),
        };
        counter!("oriole_engine_orders_total", "order" => kind).increment(1);
        let number = match order {
            EngineOrder::Prepare { version, .. } | EngineOrder::Arm { version, .. } => *version,
            EngineOrder::Hold { pass } | EngineOrder::Go { pass } => *pass,
        };
        info!(self.log, "order"; "order" => kind, "epoch" => epoch, "number" => number,
            "outcome" => reason);
        end
    }

    async fn lead(&self, report: EngineReport) -> bool {
        let epoch = report.epoch;
        let actions = lock(&self.leader).tick(self.clock.now());
        for action in actions {
            match action {
                LeaderAction::Order(order) => {
                    if let Some(end) = self.order(epoch, &order).await {
                        lock(&self.leader).ordered(&order, end);
                    }
                    // A held pass must not wait for the next report.
                    self.wake.notify_one();
                }
                LeaderAction::Tell { intent, ranks } => self.tell_intent(intent, &ranks).await,
                LeaderAction::Planned {
                    version,
                    before,
                    after,
                    copies,
                    pass_time,
                } => {
                    counter!("oriole_map_changes_total").increment(1);
                    gauge!("oriole_map_skew").set(before);
                    info!(self.log, "planned"; "version" => version, "skew" => before,
                        "skew_after" => after, "copies" => copies,
                        "pass_ms" => pass_time.as_millis() as u64);
                }
                LeaderAction::Entered(phase) => {
                    info!(self.log, "phase"; "phase" => format!("{phase:?}"));
                }
            }
        }
        *lock(&self.leader).phase() != Phase::Idle
    }

    async fn tell_intent(&self, intent: Intent, ranks: &[usize]) {
        let datagram = Datagram {
            status: None,
            intent: Some(intent.clone()),
        };
        for rank in ranks.iter().filter(|r| **r != 0) {
            self.send(*rank, &datagram).await;
        }
        if ranks.contains(&0) {
            lock(&self.shared).intent = Some((intent, self.clock.now()));
        }
    }
}

/// Learns the group's shape once, and its addresses again and again.
async fn learn(agent: Arc<Agent>) {
    let mut failed_reads = 0;
    let mut has_shape = false;
    loop {
        let outcome = agent.learn_once(&mut has_shape).await;
        let pause = match outcome {
            Ok(true) => {
                failed_reads = 0;
                ADDRESSES_EVERY
            }
            Ok(false) | Err(_) => {
                failed_reads += 1;
                AGAIN.pause(failed_reads, &mut rand::rng())
            }
        };
        if let Err(e) = outcome {
            warn!(agent.log, "store"; "step" => "learn the group", "error" => e.to_string());
        }
        tokio::time::sleep(pause).await;
    }
}

impl Agent {
    /// Whether all that the agent has to know is known.
    async fn learn_once(&self, has_shape: &mut bool) -> Result<bool, StoreError> {
        if !*has_shape {
            *has_shape = self.read_shape().await?;
        }
        Ok(self.read_addresses().await? && *has_shape)
    }

    async fn read_shape(&self) -> Result<bool, StoreError> {
        let dialect = &self.parts.dialect;
        let key = dialect.configuration_key();
        let page = self.parts.store.list(key, None, Freshness::Stale).await?;
        for item in page.items {
            if let Declared::Configuration(cfg) = dialect.decode(&item.key, &item.value) {
                let service = cfg.services.get(&self.cfg.service);
                if let Some(shape) = service.and_then(|s| s.group.clone()) {
                    lock(&self.leader).set_shape(shape);
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Reads where the group's ranks are; whether all are known.
    async fn read_addresses(&self) -> Result<bool, StoreError> {
        let group = lock(&self.shared).group.clone();
        let prefix = self.parts.dialect.upstreams_prefix();
        let mut ranks = HashMap::new();
        let mut after: Option<String> = None;
        loop {
            let page = self
                .parts
                .store
                .list(prefix, after.as_deref(), Freshness::Stale)
                .await?;
            for item in &page.items {
                if let Declared::Upstream(upstream) =
                    self.parts.dialect.decode(&item.key, &item.value)
                    && let Some(seat) = upstream.seat
                    && seat.group == group
                {
                    ranks.insert(seat.rank, upstream.address);
                }
            }
            after = page.items.last().map(|i| i.key.clone());
            if !page.truncated || after.is_none() {
                break;
            }
        }
        let is_known = ranks.contains_key(&0);
        lock(&self.shared).ranks = ranks;
        Ok(is_known)
    }
}
