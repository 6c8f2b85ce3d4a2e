//! Charges, shares and the choice of holders to cut off.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use oriole_types::domain_type;

use crate::holder::{Class, CutOff, CutOffReason, HolderId, Kind, Owner, Shortage};

/// Bytes in a megabyte of the setting `memory_mb`. The smaller of the two usual meanings, so that the
/// budget is never above what the operator meant.
const MEGABYTE: u64 = 1_000_000;

/// Time without a received byte after which an unfinished holder may be cut off. Ordinary callers send
/// a request in one piece; a lost packet is sent again within some 0.3 s.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Time without a byte taken by the caller after which what waits for it may be cut off. Callers leave
/// after about two seconds without an event.
pub const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Bytes of a body up to which its holder may use the whole budget. Usual bodies have 600 to 1,000
/// bytes, at most some KB; it is also the size of a block.
pub const SMALL_BYTES: u64 = 16 * 1024;

domain_type! {
    /// Limits of a budget.
    #[derive(Copy, Eq)]
    pub struct BudgetConfig {
        /// Bytes that all holders may hold together.
        pub budget: u64,
        /// Bytes that all holders with more than [`SMALL_BYTES`] of body may hold together.
        pub large_part: u64,
        /// Most connections.
        pub max_connections: usize,
    }
}

impl BudgetConfig {
    /// Limits for a VM with `memory_mb` MB. Half of the memory is the budget; the other half is for the
    /// program, its tables, overhead of the allocator and logs. Three quarters of the budget are for
    /// large holders.
    #[must_use]
    pub fn for_memory(memory_mb: u64, max_connections: usize) -> Self {
        let budget = memory_mb.saturating_mul(MEGABYTE) / 2;
        Self {
            budget,
            large_part: budget / 4 * 3,
            max_connections,
        }
    }

    /// Most connections that together cost a quarter of a VM's memory.
    #[must_use]
    pub fn connections_for_memory(memory_mb: u64, connection_bytes: u64) -> usize {
        let part = memory_mb.saturating_mul(MEGABYTE) / 4;
        usize::try_from(part / connection_bytes.max(1)).unwrap_or(usize::MAX)
    }
}

/// A new holder, and the holders that are cut off for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The new holder.
    pub id: HolderId,
    /// Holders to be cut off.
    pub cut_off: Vec<CutOff>,
}

#[derive(Clone, Debug)]
struct Holder {
    owner: Owner,
    /// Fixed cost, which does not decide whether the holder is large.
    fixed: u64,
    /// Bytes of the body.
    body: u64,
    /// Time of the last byte that was received, or taken by the caller.
    progressed_at: Duration,
    /// Number of the holder in order of opening.
    seq: u64,
}

impl Holder {
    fn bytes(&self) -> u64 {
        self.fixed + self.body
    }

    /// Bytes that count toward the part for large holders.
    fn large_bytes(&self) -> u64 {
        large_bytes(self.body)
    }

    /// Whether its large bytes count toward the share of its account.
    fn has_account_share(&self) -> bool {
        self.owner.kind == Kind::Request
    }
}

fn large_bytes(body: u64) -> u64 {
    if body > SMALL_BYTES { body } else { 0 }
}

/// A place in the table of holders.
#[derive(Clone, Debug, Default)]
struct Slot {
    generation: u32,
    holder: Option<Holder>,
}

/// What a charge adds, and by whom.
struct Ask {
    owner: Owner,
    /// The holder that asks, if it exists already.
    holder: Option<HolderId>,
    /// Bytes that it holds after the charge.
    bytes_after: u64,
    /// Bytes added.
    added: u64,
    /// Bytes added to the part for large holders.
    large_added: u64,
}

/// Bytes that are missing for a charge, by the limit that they exceed.
#[derive(Default)]
struct Deficit {
    budget: u64,
    large: u64,
    account: u64,
    /// Large bytes of the other accounts; without them the share of an account does not apply.
    other_accounts: u64,
}

impl Deficit {
    fn exceeds_share(&self) -> bool {
        self.account > 0 && self.other_accounts > 0
    }

    fn shortage(&self) -> Option<Shortage> {
        if self.exceeds_share() {
            Some(Shortage::AccountShare)
        } else if self.large > 0 {
            Some(Shortage::LargePart)
        } else if self.budget > 0 {
            Some(Shortage::Budget)
        } else {
            None
        }
    }
}

/// The memory budget of one daemon.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    cfg: BudgetConfig,
    slots: Vec<Slot>,
    free: Vec<u32>,
    next_seq: u64,
    held: u64,
    held_by_kind: [u64; Kind::ALL.len()],
    connections: usize,
    large: u64,
    /// Large bytes of requests, by account.
    account_large: HashMap<Option<u64>, u64>,
    /// Large bytes of the requests of all accounts.
    request_large: u64,
}

impl MemoryBudget {
    /// An empty budget.
    #[must_use]
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            slots: Vec::new(),
            free: Vec::new(),
            next_seq: 0,
            held: 0,
            held_by_kind: [0; Kind::ALL.len()],
            connections: 0,
            large: 0,
            account_large: HashMap::new(),
            request_large: 0,
        }
    }

    /// The limits.
    #[must_use]
    pub fn config(&self) -> &BudgetConfig {
        &self.cfg
    }

    /// Bytes held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Bytes held by holders of a kind.
    #[must_use]
    pub fn held_by(&self, kind: Kind) -> u64 {
        self.held_by_kind[kind as usize]
    }

    /// Bytes held by one holder; zero after it was closed or cut off.
    #[must_use]
    pub fn held_by_holder(&self, id: HolderId) -> u64 {
        self.get(id).map_or(0, Holder::bytes)
    }

    /// Time since a holder's last progress; `None` after it was closed or cut off.
    #[must_use]
    pub fn age(&self, now: Duration, id: HolderId) -> Option<Duration> {
        let holder = self.get(id)?;
        Some(now.saturating_sub(holder.progressed_at))
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Whether a holder is neither closed nor cut off.
    #[must_use]
    pub fn is_open(&self, id: HolderId) -> bool {
        self.get(id).is_some()
    }

    /// Opens a holder with a fixed cost. The caller cuts off the holders that are returned, and lets
    /// them free their memory before it allocates its own. The index of the new holder is none of
    /// theirs, so a table by index still has their entries after that of the new holder is set.
    ///
    /// # Errors
    ///
    /// Returns why there is no room. Nothing is cut off then.
    pub fn open(&mut self, now: Duration, owner: Owner, fixed: u64) -> Result<Opened, Shortage> {
        let mut cut_off = Vec::new();
        let is_connection = owner.kind == Kind::Connection;
        if is_connection && self.connections >= self.cfg.max_connections {
            let replaced = self.replaceable_connection(now);
            cut_off.push(self.cut_off_entry(
                now,
                replaced.ok_or(Shortage::Connections)?,
                CutOffReason::Connections,
            ));
        }
        let ask = Ask {
            owner,
            holder: None,
            bytes_after: fixed,
            added: fixed,
            large_added: 0,
        };
        self.make_room(now, &ask, &mut cut_off)?;
        let id = self.insert(Holder {
            owner,
            fixed,
            body: 0,
            progressed_at: now,
            seq: self.next_seq,
        });
        self.close_all(&cut_off);
        Ok(Opened { id, cut_off })
    }

    /// Adds bytes to the body of a holder. The caller cuts off the holders that are returned, and lets
    /// them free their memory before it allocates its own.
    ///
    /// # Errors
    ///
    /// Returns why there is no room. Nothing is charged or cut off then.
    pub fn charge(
        &mut self,
        now: Duration,
        id: HolderId,
        bytes: u64,
    ) -> Result<Vec<CutOff>, Shortage> {
        let holder = self.get(id).ok_or(Shortage::Gone)?;
        let body = holder.body + bytes;
        let ask = Ask {
            owner: holder.owner,
            holder: Some(id),
            bytes_after: holder.fixed + body,
            added: bytes,
            large_added: large_bytes(body) - holder.large_bytes(),
        };
        let mut cut_off = Vec::new();
        self.make_room(now, &ask, &mut cut_off)?;
        self.close_all(&cut_off);
        self.set_body(id, body);
        Ok(cut_off)
    }

    /// Takes bytes off the body of a holder.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.get(id) {
            let body = holder.body.saturating_sub(bytes);
            self.set_body(id, body);
        }
    }

    /// Records that a holder received a byte, or that its caller took one.
    pub fn progressed(&mut self, now: Duration, id: HolderId) {
        if let Some(holder) = self.get_mut(id) {
            holder.progressed_at = now;
        }
    }

    /// Changes how far a holder is. This counts as progress.
    pub fn set_class(&mut self, now: Duration, id: HolderId, class: Class) {
        if let Some(holder) = self.get_mut(id) {
            holder.owner.class = class;
            holder.progressed_at = now;
        }
    }

    /// Removes a holder with all its bytes.
    pub fn close(&mut self, id: HolderId) {
        if self.get(id).is_none() {
            return;
        }
        self.set_body(id, 0);
        let slot = &mut self.slots[id.index()];
        slot.generation = slot.generation.wrapping_add(1);
        if let Some(holder) = slot.holder.take() {
            self.held -= holder.fixed;
            self.held_by_kind[holder.owner.kind as usize] -= holder.fixed;
            if holder.owner.kind == Kind::Connection {
                self.connections -= 1;
            }
            self.free.push(id.index);
        }
    }

    fn get(&self, id: HolderId) -> Option<&Holder> {
        let slot = self.slots.get(id.index())?;
        let is_same = slot.generation == id.generation;
        slot.holder.as_ref().filter(|_| is_same)
    }

    fn get_mut(&mut self, id: HolderId) -> Option<&mut Holder> {
        let slot = self.slots.get_mut(id.index())?;
        let is_same = slot.generation == id.generation;
        slot.holder.as_mut().filter(|_| is_same)
    }

    fn insert(&mut self, holder: Holder) -> HolderId {
        self.next_seq += 1;
        self.held += holder.fixed;
        self.held_by_kind[holder.owner.kind as usize] += holder.fixed;
        if holder.owner.kind == Kind::Connection {
            self.connections += 1;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            // Every holder costs some hundred bytes, so memory ends long before the numbers do.
            u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
        });
        let slot = &mut self.slots[index as usize];
        slot.holder = Some(holder);
        HolderId {
            index,
            generation: slot.generation,
        }
    }

    fn set_body(&mut self, id: HolderId, body: u64) {
        let Some(holder) = self.get_mut(id) else {
            return;
        };
        let (owner, has_share) = (holder.owner, holder.has_account_share());
        let (before, large_before) = (holder.body, holder.large_bytes());
        holder.body = body;
        let large = holder.large_bytes();
        let replace = |total: &mut u64, old: u64, new: u64| *total = *total - old + new;
        replace(&mut self.held, before, body);
        replace(&mut self.held_by_kind[owner.kind as usize], before, body);
        replace(&mut self.large, large_before, large);
        if has_share && large != large_before {
            replace(&mut self.request_large, large_before, large);
            let of_account = self.account_large.entry(owner.account).or_default();
            replace(of_account, large_before, large);
            if *of_account == 0 {
                self.account_large.remove(&owner.account);
            }
        }
    }

    fn close_all(&mut self, cut_off: &[CutOff]) {
        for victim in cut_off {
            self.close(victim.id);
        }
    }

    /// Chooses what is cut off to make room for a charge. `cut_off` holds what is cut off in any case.
    fn make_room(
        &self,
        now: Duration,
        ask: &Ask,
        cut_off: &mut Vec<CutOff>,
    ) -> Result<(), Shortage> {
        let mut deficit = self.deficit(ask);
        for victim in &*cut_off {
            deficit.budget = deficit.budget.saturating_sub(victim.bytes);
        }
        if let Some(shortage) = deficit.shortage() {
            self.choose_victims(now, ask, deficit, cut_off)
                .map_err(|rest| rest.unwrap_or(shortage))?;
        }
        Ok(())
    }

    fn deficit(&self, ask: &Ask) -> Deficit {
        let over = |total: u64, limit: u64| total.saturating_sub(limit);
        let mut deficit = Deficit {
            budget: over(self.held + ask.added, self.cfg.budget),
            ..Deficit::default()
        };
        if ask.large_added > 0 {
            deficit.large = over(self.large + ask.large_added, self.cfg.large_part);
            if ask.owner.kind == Kind::Request {
                let own = self.account_large.get(&ask.owner.account);
                let own = own.copied().unwrap_or_default();
                deficit.other_accounts = self.request_large - own;
                deficit.account = over(own + ask.large_added, self.cfg.large_part / 2);
            }
        }
        deficit
    }

    /// Adds holders to `cut_off` until nothing is missing. Fails with what is still missing if all that
    /// may be cut off does not suffice.
    fn choose_victims(
        &self,
        now: Duration,
        ask: &Ask,
        mut deficit: Deficit,
        cut_off: &mut Vec<CutOff>,
    ) -> Result<(), Option<Shortage>> {
        // Only reached when memory is short, so a scan over all holders is affordable.
        let mut candidates: Vec<_> = self
            .holders()
            .filter(|(id, _)| ask.holder != Some(*id) && cut_off.iter().all(|c| c.id != *id))
            .filter_map(|(id, holder)| Some((rank(now, ask, holder)?, id, holder)))
            .collect();
        candidates.sort_unstable_by_key(|(rank, ..)| *rank);
        for (rank, id, holder) in candidates {
            let large = holder.large_bytes();
            let (mut of_account, mut of_others) = (0, 0);
            if holder.has_account_share() {
                let is_same = holder.owner.account == ask.owner.account;
                *(if is_same {
                    &mut of_account
                } else {
                    &mut of_others
                }) = large;
            }
            let helps = deficit.budget > 0
                || (deficit.large > 0 && large > 0)
                || (deficit.exceeds_share() && of_account > 0);
            if !helps {
                continue;
            }
            cut_off.push(self.cut_off_entry(now, id, rank.reason));
            deficit.budget = deficit.budget.saturating_sub(holder.bytes());
            deficit.large = deficit.large.saturating_sub(large);
            deficit.account = deficit.account.saturating_sub(of_account);
            deficit.other_accounts = deficit.other_accounts.saturating_sub(of_others);
            if deficit.shortage().is_none() {
                return Ok(());
            }
        }
        Err(deficit.shortage())
    }

    fn cut_off_entry(&self, now: Duration, id: HolderId, reason: CutOffReason) -> CutOff {
        let holder = self.get(id);
        CutOff {
            id,
            kind: holder.map_or(Kind::Connection, |h| h.owner.kind),
            bytes: holder.map_or(0, Holder::bytes),
            age: holder.map_or(Duration::ZERO, |h| now.saturating_sub(h.progressed_at)),
            reason,
        }
    }

    /// The connection without a running request that has waited longest for its next bytes; if there is
    /// none, the one whose caller has left its answer unread for longest. Otherwise callers that read
    /// nothing would keep all connections, and others would wait without end.
    fn replaceable_connection(&self, now: Duration) -> Option<HolderId> {
        let is_replaceable = |h: &Holder| {
            h.owner.kind == Kind::Connection
                && match h.owner.class {
                    Class::Unfinished => true,
                    Class::Unread => now.saturating_sub(h.progressed_at) >= UNREAD_TIME,
                    Class::Running => false,
                }
        };
        self.holders()
            .filter(|(_, h)| is_replaceable(h))
            .min_by_key(|(_, h)| (h.owner.class == Class::Unread, h.progressed_at, h.seq))
            .map(|(id, _)| id)
    }

    fn holders(&self) -> impl Iterator<Item = (HolderId, &Holder)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let id = HolderId {
                index: u32::try_from(index).ok()?,
                generation: slot.generation,
            };
            Some((id, slot.holder.as_ref()?))
        })
    }
}

/// Place of a holder in the order in which holders are cut off; the least goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    reason: CutOffReason,
    /// Descending size of the largest unfinished bodies; the same for all others.
    size: Reverse<u64>,
    /// Time of the last progress of stalled and unread holders; zero for the others.
    progressed_at: Duration,
    /// The larger of holders without progress since the same time.
    tied_size: Reverse<u64>,
    seq: u64,
}

/// Returns the rank of a holder that may be cut off for a charge. A holder that is running may not.
fn rank(now: Duration, ask: &Ask, holder: &Holder) -> Option<Rank> {
    let age = now.saturating_sub(holder.progressed_at);
    let reason = match holder.owner.class {
        Class::Unfinished if age >= STALL_TIME => CutOffReason::Stalled,
        Class::Unread if age >= UNREAD_TIME => CutOffReason::Unread,
        // The size after the charge is compared, so that two holders of about the same size do not cut
        // each other off.
        Class::Unfinished
            if holder.owner.kind == Kind::Request && holder.bytes() > ask.bytes_after =>
        {
            CutOffReason::Largest
        }
        _ => return None,
    };
    let is_by_size = reason == CutOffReason::Largest;
    Some(Rank {
        reason,
        size: Reverse(if is_by_size { holder.bytes() } else { 0 }),
        progressed_at: if is_by_size {
            Duration::ZERO
        } else {
            holder.progressed_at
        },
        tied_size: Reverse(if is_by_size { 0 } else { holder.bytes() }),
        seq: holder.seq,
    })
}
