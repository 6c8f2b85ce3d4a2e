//! The queue of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;

use super::lane::{Held, Lane};
use super::rate::Rate;

/// Classes from the most urgent one down.
const CLASSES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

/// How many times its forecast a wait may last without breaking the deadline.
const FORECAST_MARGIN: f64 = 2.0;

/// Settings of a [`WaitQueue`].
#[derive(Clone, Debug)]
pub struct QueueConfig {
    /// Most requests that wait for one account.
    pub per_account: usize,
    /// Most requests that wait with the same key for one account.
    pub per_key: usize,
    /// Most requests that wait in all.
    pub total: usize,
    /// Longest forecast wait with which a request is taken in, whatever its deadline, unless
    /// it is high; far below
    /// usual timeouts, so that a forecast that is too short still keeps the deadline.
    pub max_wait: Duration,
    /// Time over which rates are smoothed.
    pub rate_smoothing: Duration,
    /// A less urgent class gets one of so many slots although a more urgent one waits.
    pub yield_every: u32,
    /// Most accounts that are offered a slot at once.
    pub offers: usize,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            per_account: 256,
            per_key: 8,
            total: 2048,
            max_wait: Duration::from_secs(1),
            rate_smoothing: Duration::from_secs(2),
            yield_every: 16,
            offers: 8,
        }
    }
}

/// What the queue needs to know of a request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Account that requests.
    pub account: AccountName,
    /// Weight of the account relative to others.
    pub weight: u32,
    /// Urgency.
    pub priority: Priority,
    /// Time by which the whole answer must be given.
    pub deadline: Duration,
    /// Time that the upstream will need.
    pub service: Duration,
    /// Hash of the request's key or content, if the same may be asked again and again.
    pub key: Option<u64>,
}

number_type! {
    /// Number of a waiting request in its queue.
    pub struct Ticket
}

/// A request that was refused, with its payload.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRefusal<T> {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a new try makes sense.
    pub retry_after: Duration,
    /// Payload.
    pub value: T,
}

/// A request that left the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Popped<T> {
    /// Its number.
    pub ticket: Ticket,
    /// When it was queued.
    pub queued: Duration,
    /// By when it must be answered.
    pub deadline: Duration,
    /// Payload.
    pub value: T,
}

/// What becomes of a request that was offered a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer<R> {
    /// It is sent, with what was found out about where.
    Take(R),
    /// It cannot be sent now, but others may.
    Skip,
    /// None can be sent now.
    Stop,
}

/// Requests that wait for a slot of one pool.
///
/// The next request is taken from the most urgent class that waits (now and then from a less
/// urgent one), there from the account that had the least of its weighted share, and there by
/// deadline. A request is refused at once if its wait is forecast to be too long: by the rate at
/// which requests leave, less what more urgent classes bring in.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    cfg: QueueConfig,
    classes: BTreeMap<Priority, Class<T>>,
    per_account: BTreeMap<AccountName, usize>,
    per_key: BTreeMap<(AccountName, u64), usize>,
    index: BTreeMap<Ticket, (Priority, AccountName, Duration)>,
    drained: Rate,
    busy: Duration,
    busy_since: Option<Duration>,
    next: Ticket,
    turns: u32,
}

#[derive(Clone, Debug)]
struct Class<T> {
    lanes: BTreeMap<AccountName, Lane<T>>,
    now: f64,
    waiting: usize,
    arrived: Rate,
}

impl<T> WaitQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(cfg: QueueConfig) -> Self {
        let class = || Class {
            lanes: BTreeMap::new(),
            now: 0.0,
            waiting: 0,
            arrived: Rate::new(cfg.rate_smoothing),
        };
        Self {
            classes: CLASSES.into_iter().map(|p| (p, class())).collect(),
            per_account: BTreeMap::new(),
            per_key: BTreeMap::new(),
            index: BTreeMap::new(),
            drained: Rate::new(cfg.rate_smoothing),
            busy: Duration::ZERO,
            busy_since: None,
            next: Ticket::default(),
            turns: 0,
            cfg,
        }
    }

    /// Lets a request wait.
    ///
    /// If the queue is full, a request that is less urgent makes room; take it from
    /// [`WaitQueue::push`]'s second value and refuse it.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::QueueFull`] or [`RefusalReason::Deadline`], with the payload.
    pub fn push(
        &mut self,
        now: Duration,
        waiting: Waiting,
        value: T,
    ) -> Result<(Ticket, Option<Popped<T>>), QueueRefusal<T>> {
        if let Err(reason) = self.admits(now, &waiting) {
            counter!("oriole_queue_refused_total", "reason" => reason.as_str()).increment(1);
            let retry_after = self.forecast_wait(now, &waiting).min(self.cfg.max_wait);
            return Err(QueueRefusal {
                reason,
                retry_after,
                value,
            });
        }
        let displaced = if self.len() >= self.cfg.total {
            self.displace(now, waiting.priority)
        } else {
            None
        };
        if let Some(class) = self.classes.get_mut(&waiting.priority) {
            class.arrived.add(now, 1.0);
        }
        Ok((self.insert(now, waiting, value), displaced))
    }

    /// Puts a request back whose attempt was refused; it was admitted before and is not refused.
    pub fn push_back(&mut self, now: Duration, waiting: Waiting, value: T) -> Ticket {
        self.drained.take_back(1.0);
        self.insert(now, waiting, value)
    }

    /// Takes the next request to send, whatever it is.
    pub fn pop(&mut self, now: Duration) -> Option<Popped<T>> {
        self.pop_with(now, |_| Offer::Take(()))
            .map(|(popped, ())| popped)
    }

    /// Offers the waiting requests in their order until one is taken.
    ///
    /// A request that cannot be sent now, say because it was refused by the upstreams that have
    /// room, is skipped together with its account's others, and the next account's is offered: no
    /// request holds up those of other accounts. At most so many are offered as the settings say.
    pub fn pop_with<R>(
        &mut self,
        now: Duration,
        mut offer: impl FnMut(&T) -> Offer<R>,
    ) -> Option<(Popped<T>, R)> {
        for (i, (priority, account)) in self.order().into_iter().enumerate() {
            let class = self.classes.get_mut(&priority)?;
            let first = class.lanes.get(&account)?.first()?;
            match offer(&first.value) {
                Offer::Take(r) => {
                    let (ticket, held) = class.take(&account)?;
                    self.turns += u32::from(i == 0);
                    return Some((self.sent(now, ticket, held), r));
                }
                Offer::Skip => {}
                Offer::Stop => return None,
            }
        }
        None
    }

    /// Takes a request whose deadline cannot be met any more, if there is one.
    pub fn pop_expired(&mut self, now: Duration) -> Option<Popped<T>> {
        let (priority, account) = self.classes.iter().find_map(|(priority, class)| {
            let account = class.late_account(now)?;
            Some((*priority, account))
        })?;
        let lane = self.classes.get_mut(&priority)?.lanes.get_mut(&account)?;
        let (ticket, held) = lane.pop_first()?;
        self.class_shrank(priority, &account);
        counter!("oriole_queue_expired_total").increment(1);
        Some(self.left(now, ticket, held))
    }

    /// Takes out a request whose caller went away.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) -> Option<Popped<T>> {
        let (priority, account, deadline) = self.index.get(&ticket)?.clone();
        let lane = self.classes.get_mut(&priority)?.lanes.get_mut(&account)?;
        let held = lane.remove(deadline, ticket)?;
        self.class_shrank(priority, &account);
        Some(self.left(now, ticket, held))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of waiting requests of an account.
    #[must_use]
    pub fn waiting_for(&self, account: &AccountName) -> usize {
        self.per_account.get(account).copied().unwrap_or(0)
    }

    /// Time after which a request would be sent if it were queued now: what waits in more urgent
    /// classes leaves at the full rate, the rest at what their arrivals leave of it.
    #[must_use]
    pub fn forecast_wait(&self, now: Duration, waiting: &Waiting) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let drained = self.drained.per_s(self.busy_clock(now));
        let urgent = self
            .classes
            .range(..waiting.priority)
            .map(|(_, class)| class);
        let (ahead, arriving) = urgent.fold((0, 0.0), |(ahead, arriving), class| {
            (ahead + class.waiting, arriving + class.arrived.per_s(now))
        });
        let least = drained / f64::from(self.cfg.yield_every.max(1));
        let left = (drained - arriving).max(least);
        let in_class = self.classes[&waiting.priority].ahead_of(waiting) + 1;
        let wait_s = ahead as f64 / drained + in_class as f64 / left;
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    fn admits(&self, now: Duration, waiting: &Waiting) -> Result<(), RefusalReason> {
        if now + waiting.service > waiting.deadline {
            return Err(RefusalReason::Deadline);
        }
        let full = self.waiting_for(&waiting.account) >= self.cfg.per_account
            || self.key_is_full(waiting)
            || (self.len() >= self.cfg.total && !self.can_displace(waiting.priority));
        if full {
            return Err(RefusalReason::QueueFull);
        }
        if !self.drained.is_known(self.busy_clock(now)) {
            return Ok(());
        }
        let wait = self.forecast_wait(now, waiting);
        if wait > self.cfg.max_wait && waiting.priority != Priority::High {
            return Err(RefusalReason::QueueFull);
        }
        let wait = wait.mul_f64(FORECAST_MARGIN);
        if now.saturating_add(wait) + waiting.service > waiting.deadline {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }

    fn key_is_full(&self, waiting: &Waiting) -> bool {
        waiting.key.is_some_and(|key| {
            let held = self.per_key.get(&(waiting.account.clone(), key));
            held.is_some_and(|n| *n >= self.cfg.per_key)
        })
    }

    fn can_displace(&self, priority: Priority) -> bool {
        self.classes
            .iter()
            .any(|(p, class)| *p > priority && class.waiting > 0)
    }

    /// Takes the request with the latest deadline of the longest lane of the least urgent class.
    fn displace(&mut self, now: Duration, priority: Priority) -> Option<Popped<T>> {
        let (victim, class) = self
            .classes
            .iter_mut()
            .rev()
            .find(|(p, class)| **p > priority && class.waiting > 0)?;
        let victim = *victim;
        let (account, lane) = class.lanes.iter_mut().max_by_key(|(_, lane)| lane.len())?;
        let account = account.clone();
        let (ticket, held) = lane.pop_last()?;
        self.class_shrank(victim, &account);
        counter!("oriole_queue_displaced_total").increment(1);
        Some(self.left(now, ticket, held))
    }

    /// Accounts with waiting requests in the order in which they are offered a slot: by class,
    /// but every so many turns a less urgent class first, and within a class by what they had.
    fn order(&mut self) -> Vec<(Priority, AccountName)> {
        let mut classes: Vec<Priority> = self.waiting_classes().collect();
        if self.turns >= self.cfg.yield_every {
            self.turns = 0;
            let by = usize::from(classes.len() > 1);
            classes.rotate_left(by);
        }
        let accounts = classes.into_iter().flat_map(|p| {
            let accounts = self.classes[&p].accounts_in_turn();
            accounts.into_iter().map(move |account| (p, account))
        });
        accounts.take(self.cfg.offers).collect()
    }

    fn waiting_classes(&self) -> impl Iterator<Item = Priority> {
        self.classes
            .iter()
            .filter(|(_, c)| c.waiting > 0)
            .map(|(p, _)| *p)
    }

    fn sent(&mut self, now: Duration, ticket: Ticket, held: Held<T>) -> Popped<T> {
        let busy = self.busy_clock(now);
        if held.queued < now {
            self.drained.add(busy, 1.0);
        }
        self.left(now, ticket, held)
    }

    /// Time for which requests have waited in all. The rate at which requests leave is measured
    /// by this clock: a queue that is empty says nothing of how fast it could drain.
    fn busy_clock(&self, now: Duration) -> Duration {
        let running = self
            .busy_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.busy + running
    }

    fn insert(&mut self, now: Duration, waiting: Waiting, value: T) -> Ticket {
        let ticket = self.next;
        self.next = ticket.next();
        self.busy_since.get_or_insert(now);
        let account = waiting.account.clone();
        *self.per_account.entry(account.clone()).or_default() += 1;
        if let Some(key) = waiting.key {
            *self.per_key.entry((account.clone(), key)).or_default() += 1;
        }
        self.index
            .insert(ticket, (waiting.priority, account, waiting.deadline));
        if let Some(class) = self.classes.get_mut(&waiting.priority) {
            class.arrived.add(now, 1.0);
            class.insert(
                ticket,
                Held {
                    waiting,
                    queued: now,
                    value,
                },
            );
        }
        ticket
    }

    fn class_shrank(&mut self, priority: Priority, account: &AccountName) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.waiting -= 1;
            class.drop_if_idle(account);
        }
    }

    fn left(&mut self, now: Duration, ticket: Ticket, held: Held<T>) -> Popped<T> {
        self.index.remove(&ticket);
        if self.index.is_empty() {
            self.busy = self.busy_clock(now);
            self.busy_since = None;
        }
        let Held {
            waiting,
            queued,
            value,
        } = held;
        decrement(&mut self.per_account, &waiting.account);
        if let Some(key) = waiting.key {
            decrement(&mut self.per_key, &(waiting.account, key));
        }
        Popped {
            ticket,
            queued,
            deadline: waiting.deadline,
            value,
        }
    }
}

impl<T> Class<T> {
    fn insert(&mut self, ticket: Ticket, held: Held<T>) {
        let account = held.waiting.account.clone();
        let now = self.now;
        let lane = self.lanes.entry(account).or_insert_with(|| Lane::new(now));
        if lane.is_empty() {
            lane.due = lane.due.max(now);
        }
        lane.insert(ticket, held);
        self.waiting += 1;
    }

    fn accounts_in_turn(&self) -> Vec<AccountName> {
        let mut lanes: Vec<_> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.is_empty())
            .collect();
        lanes.sort_by(|(_, a), (_, b)| a.due.total_cmp(&b.due));
        lanes
            .into_iter()
            .map(|(account, _)| account.clone())
            .collect()
    }

    fn take(&mut self, account: &AccountName) -> Option<(Ticket, Held<T>)> {
        let lane = self.lanes.get_mut(account)?;
        let (ticket, held) = lane.pop_first()?;
        self.now = self.now.max(lane.due);
        lane.due += 1.0 / f64::from(held.waiting.weight.max(1));
        self.waiting -= 1;
        self.drop_if_idle(account);
        Some((ticket, held))
    }

    /// Requests sent before this one: of its own account by deadline, of each other account as
    /// many as its weight earns meanwhile.
    fn ahead_of(&self, waiting: &Waiting) -> usize {
        let own = self.lanes.get(&waiting.account);
        let before = own.map_or(0, |lane| lane.ahead_of(waiting.deadline));
        let weight = f64::from(waiting.weight.max(1));
        let turn = own.map_or(self.now, |lane| lane.due.max(self.now)) + before as f64 / weight;
        let others = self
            .lanes
            .iter()
            .filter(|(account, _)| **account != waiting.account);
        let of_others: usize = others.map(|(_, lane)| lane.served_by(turn)).sum();
        before + of_others
    }

    fn late_account(&self, now: Duration) -> Option<AccountName> {
        self.lanes
            .iter()
            .find(|(_, lane)| lane.first_deadline().is_some_and(|d| d <= now))
            .map(|(account, _)| account.clone())
    }

    /// Forgets an account that owes nothing, so that the map stays small.
    fn drop_if_idle(&mut self, account: &AccountName) {
        let now = self.now;
        if self
            .lanes
            .get(account)
            .is_some_and(|l| l.is_empty() && l.due <= now)
        {
            self.lanes.remove(account);
        }
        if self.waiting == 0 {
            self.lanes.clear();
        }
    }
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(n) = counts.get_mut(key) {
        *n -= 1;
        if *n == 0 {
            counts.remove(key);
        }
    }
}
