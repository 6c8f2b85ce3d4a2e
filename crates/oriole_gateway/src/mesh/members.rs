//! Tracks the other entry daemons by their heartbeats.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt as _};

use crate::fleet_view::PrefixRevisions;

use super::message::{Heartbeat, MemberRecord, Readiness};

/// Silence after which a member is no longer listed to callers. Well below the time for which a
/// crashed VM may be listed.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2200);

/// Silence after which a member's reported requests in flight no longer count.
const LOAD_TTL: Duration = Duration::from_millis(2500);

/// Silence after which a member is forgotten. It may return at any time.
const MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// Silence for which a member still counts as a sender to upstreams. A paused or disconnected
/// daemon may resume and use its share.
const SENDER_TTL: Duration = Duration::from_secs(20);

/// Most records of other members in one heartbeat, so that it fits a datagram.
const MAX_RELAYED_RECORDS: usize = 8;

/// Probability that a heartbeat is also sent to a silent address.
const SILENT_TARGET_PROBABILITY: f64 = 0.5;

/// Most members that a heartbeat is sent to. The others learn of this daemon through relayed
/// records.
pub const MAX_FANOUT: usize = 40;

/// Another entry daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its latest record, received directly or relayed.
    pub record: MemberRecord,
    /// Address on which it receives heartbeats and pull requests.
    pub peer_address: SocketAddr,
    /// Time at which its heartbeat counter last increased.
    pub last_heartbeat_at: Duration,
    /// Time of the last heartbeat received from the daemon itself; `None` if there were only
    /// relayed records.
    last_direct_at: Option<Duration>,
    /// Highest revisions in its fleet view.
    pub view_revisions: PrefixRevisions,
    /// Time since which its fleet view has been ahead of this daemon's; `None` if it is not.
    ahead_since: Option<Duration>,
    in_flight: Vec<(u64, u32)>,
}

/// A change of a member's liveness, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the member's VM.
    pub name: String,
    /// New liveness: `lost` or `regained`.
    pub state: &'static str,
}

/// All known entry daemons except this one.
#[derive(Debug)]
pub struct Members {
    own_name: String,
    members: HashMap<String, Member>,
    /// Addresses where a daemon may be, from seeds and the store, with the time they were added.
    contacts: HashMap<SocketAddr, Duration>,
    lost: HashSet<String>,
}

impl Members {
    /// The members known to a daemon that has received no heartbeat.
    #[must_use]
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            members: HashMap::new(),
            contacts: HashMap::new(),
            lost: HashSet::new(),
        }
    }

    /// Adds an address where a daemon may be.
    pub fn add_contact(&mut self, now: Duration, address: SocketAddr) {
        self.contacts.insert(address, now);
    }

    /// Processes a heartbeat. `own` holds the revisions of this daemon's fleet view.
    pub fn on_heartbeat(&mut self, now: Duration, heartbeat: Heartbeat, own: &PrefixRevisions) {
        let in_flight = heartbeat
            .in_flight
            .iter()
            .map(|l| (l.instance, l.requests))
            .collect();
        let revisions = PrefixRevisions(heartbeat.view_revisions);
        if let Some(from) = heartbeat.from
            && let Some(member) = self.update_member(now, from, true)
        {
            member.last_direct_at = Some(now);
            member.in_flight = in_flight;
            if !revisions.is_ahead_of(own) {
                member.ahead_since = None;
            } else if member.ahead_since.is_none() {
                member.ahead_since = Some(now);
            }
            member.view_revisions = revisions;
        }
        for record in heartbeat.relayed {
            self.update_member(now, record, false);
        }
    }

    fn update_member(
        &mut self,
        now: Duration,
        record: MemberRecord,
        is_direct: bool,
    ) -> Option<&mut Member> {
        if record.name == self.own_name {
            return None;
        }
        let peer_address: SocketAddr = record.peer_address.parse().ok()?;
        if let Some(member) = self.members.get(&record.name) {
            let is_same_run = member.record.incarnation == record.incarnation;
            let is_older = is_same_run && record.heartbeat <= member.record.heartbeat;
            let was_seen_recently = member
                .last_direct_at
                .is_some_and(|at| now < at + LIVENESS_TIMEOUT);
            // A relayed record of another incarnation may be from an earlier one.
            if is_older || (!is_direct && !is_same_run && was_seen_recently) {
                return None;
            }
        }
        let entry = self.members.entry(record.name.clone());
        let member = entry.or_insert_with(|| Member {
            record: record.clone(),
            peer_address,
            last_heartbeat_at: now,
            last_direct_at: None,
            view_revisions: PrefixRevisions::default(),
            ahead_since: None,
            in_flight: Vec::new(),
        });
        member.record = record;
        member.peer_address = peer_address;
        member.last_heartbeat_at = now;
        Some(member)
    }

    /// Addresses that the next heartbeat is sent to.
    pub fn heartbeat_targets(&self, now: Duration, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut targets: Vec<SocketAddr> = self.members.values().map(|m| m.peer_address).collect();
        for address in self.contacts.keys() {
            if !targets.contains(address) {
                targets.push(*address);
            }
        }
        // Silent addresses are tried less often.
        targets.retain(|a| self.is_live(now, *a) || rng.random_bool(SILENT_TARGET_PROBABILITY));
        while targets.len() > MAX_FANOUT {
            let i = rng.random_range(0..targets.len());
            targets.swap_remove(i);
        }
        targets
    }

    fn is_live(&self, now: Duration, address: SocketAddr) -> bool {
        self.members
            .values()
            .find(|m| m.peer_address == address)
            .is_none_or(|m| now < m.last_heartbeat_at + LIVENESS_TIMEOUT)
    }

    /// Random live members whose records the next heartbeat relays.
    pub fn records_to_relay(&self, now: Duration, rng: &mut impl Rng) -> Vec<MemberRecord> {
        let mut live: Vec<&Member> = self
            .members
            .values()
            .filter(|m| now < m.last_heartbeat_at + LIVENESS_TIMEOUT)
            .collect();
        while live.len() > MAX_RELAYED_RECORDS {
            let i = rng.random_range(0..live.len());
            live.swap_remove(i);
        }
        live.into_iter().map(|m| m.record.clone()).collect()
    }

    /// Live members that callers may connect to.
    pub fn ready(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| {
            m.record.readiness() == Readiness::Ready && now < m.last_heartbeat_at + LIVENESS_TIMEOUT
        })
    }

    /// The member to pull newer items from: the one furthest ahead, among those whose view has been
    /// ahead for at least `min_lead`.
    pub fn member_ahead(
        &self,
        now: Duration,
        min_lead: Duration,
        own: &PrefixRevisions,
    ) -> Option<&Member> {
        self.members
            .values()
            .filter(|m| {
                m.view_revisions.is_ahead_of(own) && now < m.last_heartbeat_at + LIVENESS_TIMEOUT
            })
            .filter(|m| m.ahead_since.is_some_and(|since| now >= since + min_lead))
            .max_by_key(|m| m.view_revisions.0.iter().sum::<u64>())
    }

    /// Requests that other daemons have in flight, by hash of the instance.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> HashMap<u64, u32> {
        let mut sums = HashMap::new();
        for member in self.members.values() {
            if now >= member.last_heartbeat_at + LOAD_TTL {
                continue;
            }
            for (instance, requests) in &member.in_flight {
                *sums.entry(*instance).or_insert(0) += requests;
            }
        }
        sums
    }

    /// Number of daemons that may be sending requests, including this one, and this daemon's
    /// position among them.
    #[must_use]
    pub fn sender_position(&self, now: Duration) -> (usize, usize) {
        let others = self
            .members
            .values()
            .filter(|m| now < m.last_heartbeat_at + SENDER_TTL);
        let (mut count, mut before) = (1, 0);
        for member in others {
            count += 1;
            before += usize::from(member.record.name < self.own_name);
        }
        (count, before)
    }

    /// Drops members that have been silent for long, and returns which members were lost or
    /// regained.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberChange> {
        self.members
            .retain(|_, m| now < m.last_heartbeat_at + MEMBER_RETENTION);
        self.contacts.retain(|_, at| now < *at + MEMBER_RETENTION);
        let mut changes = Vec::new();
        for (name, member) in &self.members {
            let is_lost = now >= member.last_heartbeat_at + LIVENESS_TIMEOUT;
            if is_lost && self.lost.insert(name.clone()) {
                changes.push(MemberChange {
                    name: name.clone(),
                    state: "lost",
                });
            } else if !is_lost && self.lost.remove(name) {
                changes.push(MemberChange {
                    name: name.clone(),
                    state: "regained",
                });
            }
        }
        changes
    }
}
