//! The queue of requests that wait for a slot of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;

use super::account_queue::Queued;
use super::class::ClassQueue;
use super::rate::Rate;
use super::shares::AccountShares;

/// All priorities, the most urgent first.
const PRIORITIES: [Priority; 3] = [Priority::High, Priority::Normal, Priority::Low];

/// A request is admitted only if this multiple of its forecast wait fits before its deadline.
const FORECAST_MARGIN: f64 = 2.0;

/// Settings of a [`WaitQueue`].
#[derive(Clone, Debug)]
pub struct QueueConfig {
    /// Most waiting requests of one account.
    pub max_per_account: usize,
    /// Most waiting requests of one account with the same key.
    pub max_per_key: usize,
    /// Most waiting requests in total.
    pub max_total: usize,
    /// Longest forecast wait with which a request of normal or low priority is admitted, whatever
    /// its deadline. It is far below usual timeouts, so that the deadline is kept even if the
    /// forecast is too short.
    pub max_forecast_wait: Duration,
    /// Smoothing time of the measured rates.
    pub rate_smoothing: Duration,
    /// One slot in this many goes to a less urgent group of requests first, so that it doesn't
    /// starve while more urgent requests wait.
    pub yield_every: u32,
    /// Most accounts that are offered a free slot before the queue gives up until the next one.
    pub max_offers: usize,
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            max_per_account: 256,
            max_per_key: 8,
            max_total: 2048,
            max_forecast_wait: Duration::from_secs(1),
            rate_smoothing: Duration::from_secs(2),
            yield_every: 16,
            max_offers: 8,
        }
    }
}

/// The properties of a request that determine its position in the queue.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Account that sent the request.
    pub account: AccountName,
    /// Weight of the account relative to others.
    pub weight: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which the complete answer is due.
    pub deadline: Duration,
    /// Time that the upstream is expected to take.
    pub service_time: Duration,
    /// Hash of the request's key or content, which limits repetitions of the same request; `None`
    /// for no limit.
    pub key: Option<u64>,
}

number_type! {
    /// Identifies a waiting request in its queue.
    pub struct Ticket
}

/// A request that the queue refused.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRefusal<T> {
    /// Reason that the caller gets.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
    /// Payload.
    pub value: T,
}

/// A request that was taken out of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Popped<T> {
    /// Ticket that [`WaitQueue::push`] returned.
    pub ticket: Ticket,
    /// When the request was queued.
    pub queued_at: Duration,
    /// When the complete answer is due.
    pub deadline: Duration,
    /// Payload.
    pub value: T,
}

/// Response to a request that is offered a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer<R> {
    /// Take the request out of the queue; the value is returned with it.
    Take(R),
    /// The request can't be sent now, but requests of other accounts may be.
    Skip,
    /// No request can be sent now.
    Stop,
}

/// Requests that wait for a slot of one pool.
///
/// Requests of high priority are sent first. The others are ordered by these rules: accounts within
/// their weighted share before accounts over it, then by priority, then the account whose turn it
/// is, then the earliest deadline. Every [`QueueConfig::yield_every`] turns, the second group in
/// this order goes first. A request is refused at once if its forecast wait is too long.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    cfg: QueueConfig,
    classes: BTreeMap<Priority, ClassQueue<T>>,
    shares: AccountShares,
    /// Number of waiting requests by account and key.
    per_key: BTreeMap<(AccountName, u64), usize>,
    index: BTreeMap<Ticket, (Priority, AccountName, Duration)>,
    /// Requests sent after a wait, measured by [`WaitQueue::busy_clock`].
    departures: Rate,
    /// Total time for which the queue was not empty, up to when it last became empty.
    busy_total: Duration,
    /// When the queue became non-empty; `None` while it is empty.
    busy_since: Option<Duration>,
    next_ticket: Ticket,
    /// Slots taken by the first account in order since a less urgent group went first.
    turns_since_yield: u32,
}

/// Rank of a request when slots are offered: smaller groups go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    /// Whether the account is over its share; always false for high priority.
    over_share: bool,
    priority: Priority,
}

/// The next request of one account and priority, to be offered a slot.
#[derive(Clone, Debug)]
struct Turn {
    group: Group,
    virtual_due: f64,
    account: AccountName,
}

impl<T> WaitQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(cfg: QueueConfig) -> Self {
        Self {
            classes: PRIORITIES
                .into_iter()
                .map(|p| (p, ClassQueue::default()))
                .collect(),
            shares: AccountShares::new(cfg.rate_smoothing),
            per_key: BTreeMap::new(),
            index: BTreeMap::new(),
            departures: Rate::new(cfg.rate_smoothing),
            busy_total: Duration::ZERO,
            busy_since: None,
            next_ticket: Ticket::default(),
            turns_since_yield: 0,
            cfg,
        }
    }

    /// Adds a request.
    ///
    /// If the queue is full, a less urgent request is displaced. It is the second value of the
    /// result, and the caller must refuse it.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::QueueFull`] if a bound of the queue is reached or the forecast wait is too
    /// long, [`RefusalReason::Deadline`] if the deadline would not be met.
    pub fn push(
        &mut self,
        now: Duration,
        request: QueueRequest,
        value: T,
    ) -> Result<(Ticket, Option<Popped<T>>), QueueRefusal<T>> {
        self.shares.refresh(now);
        if let Err(reason) = self.check_admission(now, &request) {
            counter!("oriole_queue_refused_total", "reason" => reason.as_str()).increment(1);
            let retry_after = self
                .forecast_wait(now, &request)
                .min(self.cfg.max_forecast_wait);
            return Err(QueueRefusal {
                reason,
                retry_after,
                value,
            });
        }
        let displaced = if self.len() >= self.cfg.max_total {
            self.displace(now, request.priority)
        } else {
            None
        };
        self.shares
            .record_arrival(now, &request.account, request.priority);
        Ok((self.insert(now, request, value), displaced))
    }

    /// Records a request that was sent without waiting because the queue was empty and a slot free.
    pub fn record_bypass(&mut self, now: Duration, request: &QueueRequest) {
        self.shares
            .record_arrival(now, &request.account, request.priority);
        self.shares.record_served(now, &request.account);
    }

    /// Puts back a request whose attempt was refused. It was admitted before, so it is not refused.
    pub fn requeue(&mut self, now: Duration, request: QueueRequest, value: T) -> Ticket {
        self.departures.subtract(1.0);
        self.shares.undo_served(&request.account);
        self.insert(now, request, value)
    }

    /// Takes the next request in order.
    pub fn pop(&mut self, now: Duration) -> Option<Popped<T>> {
        self.pop_with(now, |_| Offer::Take(()))
            .map(|(popped, ())| popped)
    }

    /// Offers a slot to the waiting requests in order until one takes it.
    ///
    /// A request that can't be sent now, for example because the upstreams with free slots refused
    /// it before, is skipped along with its account's later ones of the same priority, so that it
    /// doesn't block other accounts. At most [`QueueConfig::max_offers`] requests are offered the
    /// slot.
    pub fn pop_with<R>(
        &mut self,
        now: Duration,
        mut offer: impl FnMut(&T) -> Offer<R>,
    ) -> Option<(Popped<T>, R)> {
        for (i, (priority, account)) in self.offer_order(now).into_iter().enumerate() {
            let class = self.classes.get_mut(&priority)?;
            let first = class.accounts.get(&account)?.first()?;
            match offer(&first.value) {
                Offer::Take(r) => {
                    let (ticket, queued) = class.take(&account)?;
                    self.turns_since_yield += u32::from(i == 0);
                    return Some((self.record_sent(now, ticket, queued), r));
                }
                Offer::Skip => {}
                Offer::Stop => return None,
            }
        }
        None
    }

    /// Takes a request whose deadline has passed, if there is one.
    pub fn pop_expired(&mut self, now: Duration) -> Option<Popped<T>> {
        let (priority, account) = self.classes.iter().find_map(|(priority, class)| {
            let account = class.account_with_expired(now)?;
            Some((*priority, account))
        })?;
        let account_queue = self
            .classes
            .get_mut(&priority)?
            .accounts
            .get_mut(&account)?;
        let (ticket, queued) = account_queue.pop_first()?;
        self.record_removal(priority, &account);
        counter!("oriole_queue_expired_total").increment(1);
        Some(self.record_left(now, ticket, queued))
    }

    /// Removes a request whose caller disconnected; `None` if it no longer waits.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) -> Option<Popped<T>> {
        let (priority, account, deadline) = self.index.get(&ticket)?.clone();
        let account_queue = self
            .classes
            .get_mut(&priority)?
            .accounts
            .get_mut(&account)?;
        let queued = account_queue.remove(deadline, ticket)?;
        self.record_removal(priority, &account);
        Some(self.record_left(now, ticket, queued))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Number of waiting requests of an account.
    #[must_use]
    pub fn waiting_count(&self, account: &AccountName) -> usize {
        self.shares.waiting_count(account)
    }

    /// Forecast of the wait of a request if it were queued now.
    ///
    /// High-priority requests are sent at the full rate of departures. Others wait for the
    /// high-priority ones, and for earlier ones of their own account at the account's guaranteed
    /// rate, whatever other accounts send in the meantime.
    #[must_use]
    pub fn forecast_wait(&self, now: Duration, request: &QueueRequest) -> Duration {
        let min_share = 1.0 / f64::from(self.cfg.yield_every.max(1));
        let class_of_account = (&request.account, request.weight, request.priority);
        let (false, Some(own_per_s)) = (
            self.is_empty(),
            self.shares
                .guaranteed_rate(now, class_of_account, min_share),
        ) else {
            return Duration::ZERO;
        };
        let departures_per_s = self.departures.per_s(self.busy_clock(now));
        let left_for_others_per_s =
            departures_per_s - self.shares.arrival_rate(now, Priority::High);
        let own_per_s = own_per_s.min(left_for_others_per_s.max(departures_per_s * min_share));
        let high_wait_s = self.classes[&Priority::High].len as f64 / departures_per_s;
        let own_wait_s = (self.count_own_ahead(request) + 1) as f64 / own_per_s;
        let wait_s = match request.priority {
            Priority::High => high_wait_s + 1.0 / departures_per_s,
            Priority::Normal | Priority::Low => high_wait_s + own_wait_s,
        };
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Number of requests of the same account that are sent before this one, without high priority.
    fn count_own_ahead(&self, request: &QueueRequest) -> usize {
        let urgent = self
            .classes
            .range(Priority::Normal..request.priority.max(Priority::Normal));
        let urgent: usize = urgent.map(|(_, c)| c.waiting_count(&request.account)).sum();
        urgent + self.classes[&request.priority].count_ahead_of(&request.account, request.deadline)
    }

    fn check_admission(&self, now: Duration, request: &QueueRequest) -> Result<(), RefusalReason> {
        if now + request.service_time > request.deadline {
            return Err(RefusalReason::Deadline);
        }
        let full = self.waiting_count(&request.account) >= self.cfg.max_per_account
            || self.key_is_full(request)
            || (self.len() >= self.cfg.max_total && !self.can_displace(request.priority));
        if full {
            return Err(RefusalReason::QueueFull);
        }
        if !self.departures.is_measurable(self.busy_clock(now)) {
            return Ok(());
        }
        let wait = self.forecast_wait(now, request);
        if wait > self.cfg.max_forecast_wait && request.priority != Priority::High {
            return Err(RefusalReason::QueueFull);
        }
        let wait = wait.mul_f64(FORECAST_MARGIN);
        if now.saturating_add(wait) + request.service_time > request.deadline {
            return Err(RefusalReason::Deadline);
        }
        Ok(())
    }

    fn key_is_full(&self, request: &QueueRequest) -> bool {
        request.key.is_some_and(|key| {
            let queued = self.per_key.get(&(request.account.clone(), key));
            queued.is_some_and(|n| *n >= self.cfg.max_per_key)
        })
    }

    fn can_displace(&self, priority: Priority) -> bool {
        self.classes
            .iter()
            .any(|(p, class)| *p > priority && class.len > 0)
    }

    /// Removes the request with the latest deadline from the account with the most waiting requests
    /// of the least urgent priority, if that is less urgent than `priority`.
    fn displace(&mut self, now: Duration, priority: Priority) -> Option<Popped<T>> {
        let (victim_class, class) = self
            .classes
            .iter_mut()
            .rev()
            .find(|(p, class)| **p > priority && class.len > 0)?;
        let victim_class = *victim_class;
        let (account, account_queue) = class
            .accounts
            .iter_mut()
            .max_by_key(|(_, account_queue)| account_queue.len())?;
        let account = account.clone();
        let (ticket, queued) = account_queue.pop_last()?;
        self.record_removal(victim_class, &account);
        counter!("oriole_queue_displaced_total").increment(1);
        Some(self.record_left(now, ticket, queued))
    }

    /// Accounts and priorities with waiting requests in the order in which they are offered a
    /// slot; see [`WaitQueue`].
    fn offer_order(&mut self, now: Duration) -> Vec<(Priority, AccountName)> {
        self.shares.refresh(now);
        let mut turns: Vec<Turn> = self.account_turns(now);
        turns.sort_by(|a, b| {
            a.group
                .cmp(&b.group)
                .then(a.virtual_due.total_cmp(&b.virtual_due))
        });
        if self.turns_since_yield >= self.cfg.yield_every {
            self.turns_since_yield = 0;
            let first_group_len = turns
                .iter()
                .take_while(|t| t.group == turns[0].group)
                .count();
            let shift = first_group_len % turns.len().max(1);
            turns.rotate_left(shift);
        }
        turns.truncate(self.cfg.max_offers);
        turns
            .into_iter()
            .map(|t| (t.group.priority, t.account))
            .collect()
    }

    fn account_turns(&self, now: Duration) -> Vec<Turn> {
        let classes = self.classes.iter();
        classes
            .flat_map(|(priority, class)| {
                class.virtual_dues().map(|(virtual_due, account)| {
                    let high = *priority == Priority::High;
                    let over_share = !high && self.shares.is_over_share(now, account);
                    let group = Group {
                        over_share,
                        priority: *priority,
                    };
                    Turn {
                        group,
                        virtual_due,
                        account: account.clone(),
                    }
                })
            })
            .collect()
    }

    /// Updates the rates after a request was taken to be sent.
    fn record_sent(&mut self, now: Duration, ticket: Ticket, queued: Queued<T>) -> Popped<T> {
        self.shares.record_served(now, &queued.request.account);
        let busy = self.busy_clock(now);
        if queued.queued_at < now {
            self.departures.add(busy, 1.0);
        }
        self.record_left(now, ticket, queued)
    }

    /// Total time for which the queue was not empty. The rate of departures is measured by this
    /// clock, since an empty queue doesn't show how fast it could drain.
    fn busy_clock(&self, now: Duration) -> Duration {
        let running = self
            .busy_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.busy_total + running
    }

    fn insert(&mut self, now: Duration, request: QueueRequest, value: T) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket = ticket.next();
        self.busy_since.get_or_insert(now);
        let account = request.account.clone();
        self.shares.record_queued(&account, request.weight);
        if let Some(key) = request.key {
            *self.per_key.entry((account.clone(), key)).or_default() += 1;
        }
        self.index
            .insert(ticket, (request.priority, account, request.deadline));
        if let Some(class) = self.classes.get_mut(&request.priority) {
            class.insert(
                ticket,
                Queued {
                    request,
                    queued_at: now,
                    value,
                },
            );
        }
        ticket
    }

    /// Counts down after a request was removed directly from the queue of its account.
    fn record_removal(&mut self, priority: Priority, account: &AccountName) {
        if let Some(class) = self.classes.get_mut(&priority) {
            class.len -= 1;
            class.remove_if_idle(account);
        }
    }

    /// Updates indexes and counts after a request was removed for any reason.
    fn record_left(&mut self, now: Duration, ticket: Ticket, queued: Queued<T>) -> Popped<T> {
        self.index.remove(&ticket);
        if self.index.is_empty() {
            self.busy_total = self.busy_clock(now);
            self.busy_since = None;
        }
        let Queued {
            request,
            queued_at,
            value,
        } = queued;
        self.shares.record_left(&request.account);
        if let Some(key) = request.key {
            decrement(&mut self.per_key, &(request.account, key));
        }
        Popped {
            ticket,
            queued_at,
            deadline: request.deadline,
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
