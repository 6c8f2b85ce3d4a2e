//! The queue of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;

use super::class::Class;
use super::lane::Held;
use super::rate::Rate;
use super::shares::Shares;

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
pub struct QueueRequest {
    /// Account that requests.
    pub account: AccountName,
    /// Weight of the account relative to others.
    pub weight: u32,
    /// Urgency.
    pub priority: Priority,
    /// Time by which the whole answer must be given.
    pub deadline: Duration,
    /// Time that the upstream will need.
    pub service_time: Duration,
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
/// High requests are sent first. Of the others, those of accounts within their weighted share go
/// before those of accounts that had more; then the more urgent class goes first, now and then a
/// less urgent one; then the account whose turn it is; then the earliest deadline. A request is
/// refused at once if its wait is forecast to be too long.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    cfg: QueueConfig,
    classes: BTreeMap<Priority, Class<T>>,
    shares: Shares,
    per_key: BTreeMap<(AccountName, u64), usize>,
    index: BTreeMap<Ticket, (Priority, AccountName, Duration)>,
    drained: Rate,
    busy: Duration,
    busy_since: Option<Duration>,
    next: Ticket,
    turns: u32,
}

/// Requests that are offered slots before those of the next group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    over: bool,
    priority: Priority,
}

/// An account's turn at a slot.
#[derive(Clone, Debug)]
struct Turn {
    group: Group,
    due: f64,
    account: AccountName,
}

impl<T> WaitQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(cfg: QueueConfig) -> Self {
        Self {
            classes: CLASSES.into_iter().map(|p| (p, Class::default())).collect(),
            shares: Shares::new(cfg.rate_smoothing),
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
        waiting: QueueRequest,
        value: T,
    ) -> Result<(Ticket, Option<Popped<T>>), QueueRefusal<T>> {
        self.shares.refresh(now);
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
        self.shares.arrived(now, &waiting.account, waiting.priority);
        Ok((self.insert(now, waiting, value), displaced))
    }

    /// Notes a request that was sent without waiting, since none waited and there was room.
    pub fn record_bypass(&mut self, now: Duration, waiting: &QueueRequest) {
        self.shares.arrived(now, &waiting.account, waiting.priority);
        self.shares.had(now, &waiting.account);
    }

    /// Puts a request back whose attempt was refused; it was admitted before and is not refused.
    pub fn requeue(&mut self, now: Duration, waiting: QueueRequest, value: T) -> Ticket {
        self.drained.take_back(1.0);
        self.shares.had_not(&waiting.account);
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
        for (i, (priority, account)) in self.order(now).into_iter().enumerate() {
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
        self.shares.waiting(account)
    }

    /// Time after which a request would be sent if it were queued now.
    ///
    /// High requests leave at the full rate. Others wait for the high ones, and for their own
    /// account's at the rate that the account can count on, whatever others bring meanwhile.
    #[must_use]
    pub fn forecast_wait(&self, now: Duration, waiting: &QueueRequest) -> Duration {
        let least = 1.0 / f64::from(self.cfg.yield_every.max(1));
        let of = (&waiting.account, waiting.weight, waiting.priority);
        let (false, Some(own_rate)) = (self.is_empty(), self.shares.counts_on(now, of, least))
        else {
            return Duration::ZERO;
        };
        let drained = self.drained.per_s(self.busy_clock(now));
        let left_by_high = drained - self.shares.arriving(now, Priority::High);
        let own_rate = own_rate.min(left_by_high.max(drained * least));
        let high = self.classes[&Priority::High].waiting as f64 / drained;
        let own = (self.own_ahead(waiting) + 1) as f64 / own_rate;
        let wait_s = match waiting.priority {
            Priority::High => high + 1.0 / drained,
            Priority::Normal | Priority::Low => high + own,
        };
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Requests of the same account that are sent before this one, but for high ones.
    fn own_ahead(&self, waiting: &QueueRequest) -> usize {
        let urgent = self
            .classes
            .range(Priority::Normal..waiting.priority.max(Priority::Normal));
        let urgent: usize = urgent.map(|(_, c)| c.waiting_for(&waiting.account)).sum();
        urgent + self.classes[&waiting.priority].ahead_of(&waiting.account, waiting.deadline)
    }

    fn admits(&self, now: Duration, waiting: &QueueRequest) -> Result<(), RefusalReason> {
        if now + waiting.service_time > waiting.deadline {
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
        if now.saturating_add(wait) + waiting.service_time > waiting.deadline {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }

    fn key_is_full(&self, waiting: &QueueRequest) -> bool {
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

    /// Accounts with waiting requests in the order in which they are offered a slot.
    ///
    /// High requests come first, then those of accounts within their share by class, then those of
    /// accounts that had more than their share. In each of these groups the account is first whose
    /// turn it is. Every so many turns the next group is offered the slot first.
    fn order(&mut self, now: Duration) -> Vec<(Priority, AccountName)> {
        self.shares.refresh(now);
        let mut turns: Vec<Turn> = self.turns_to_offer(now);
        turns.sort_by(|a, b| a.group.cmp(&b.group).then(a.due.total_cmp(&b.due)));
        if self.turns >= self.cfg.yield_every {
            self.turns = 0;
            let first = turns
                .iter()
                .take_while(|t| t.group == turns[0].group)
                .count();
            let by = first % turns.len().max(1);
            turns.rotate_left(by);
        }
        turns.truncate(self.cfg.offers);
        turns
            .into_iter()
            .map(|t| (t.group.priority, t.account))
            .collect()
    }

    fn turns_to_offer(&self, now: Duration) -> Vec<Turn> {
        let classes = self.classes.iter();
        classes
            .flat_map(|(priority, class)| {
                class.due().map(|(due, account)| {
                    let high = *priority == Priority::High;
                    let over = !high && self.shares.is_over(now, account);
                    let group = Group {
                        over,
                        priority: *priority,
                    };
                    Turn {
                        group,
                        due,
                        account: account.clone(),
                    }
                })
            })
            .collect()
    }

    fn sent(&mut self, now: Duration, ticket: Ticket, held: Held<T>) -> Popped<T> {
        self.shares.had(now, &held.waiting.account);
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

    fn insert(&mut self, now: Duration, waiting: QueueRequest, value: T) -> Ticket {
        let ticket = self.next;
        self.next = ticket.next();
        self.busy_since.get_or_insert(now);
        let account = waiting.account.clone();
        self.shares.queued(&account, waiting.weight);
        if let Some(key) = waiting.key {
            *self.per_key.entry((account.clone(), key)).or_default() += 1;
        }
        self.index
            .insert(ticket, (waiting.priority, account, waiting.deadline));
        if let Some(class) = self.classes.get_mut(&waiting.priority) {
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
        self.shares.left(&waiting.account);
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

fn decrement<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(n) = counts.get_mut(key) {
        *n -= 1;
        if *n == 0 {
            counts.remove(key);
        }
    }
}
