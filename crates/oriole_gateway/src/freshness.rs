//! Decides when the cached items must be confirmed by the store, and which watches are no longer
//! trusted.
//!
//! A watch whose connection died silently looks like a watch to which nothing happens. Therefore a
//! listing confirms each prefix periodically, on behalf of all daemons: a daemon that holds the
//! same items as a peer takes over the peer's confirmation. A watch is cut when something shows
//! that its answer may have been lost:
//!
//! - another call to the store stayed unanswered while it waited, and the store answers again;
//! - a listing or a peer brought a change that it should have reported.

use std::collections::HashMap;
use std::time::Duration;

/// Age of a confirmation at which the first daemon in line reads the prefix again. Together with
/// the spread and the way through a peer it stays below the agreed time of two seconds for changes
/// to take effect.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(1000);

/// Time by which each further daemon in line reads later than the one before it: enough for a
/// listing and a heartbeat, after which its own read is not needed.
const READ_STEP: Duration = Duration::from_millis(30);

/// Longest time by which a daemon reads later than the first in line, in fleets of any size.
const MAX_READ_SPREAD: Duration = Duration::from_millis(400);

/// Time that a watch gets to report a change that arrived in another way.
const MISSED_CHANGE_GRACE: Duration = Duration::from_millis(400);

/// Time between the relists of two daemons whose watches were cut for the same reason. It keeps a
/// fleet's relists within half of the store's smallest rate.
const RELIST_STEP: Duration = Duration::from_millis(2);

/// Most daemons whose latest confirmation is remembered.
const MAX_CONFIRMERS: usize = 4096;

/// A listing that confirmed a prefix. Peers pass confirmations on by this id, because ages alone
/// would grow younger with the transit time of each hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmationId {
    /// Run of the daemon that listed the prefix.
    pub incarnation: u64,
    /// Number of the listing, increasing within the run.
    pub number: u64,
}

/// A confirmation that a prefix's cached items are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Listing that it is based on.
    pub id: ConfirmationId,
    /// Time as of which the items were complete.
    pub as_of: Duration,
}

/// This daemon's place among all daemons, in an order that all of them share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Position, from zero.
    pub ordinal: usize,
    /// Number of daemons.
    pub daemons: usize,
}

impl Place {
    fn read_delay(self) -> Duration {
        let daemons = self.daemons.max(1) as u32;
        READ_STEP.min(MAX_READ_SPREAD / daemons) * self.ordinal as u32
    }

    /// A place in the second half of the order, for a daemon that leaves confirming reads to others
    /// as long as they make them. The longest delay stays the same.
    #[must_use]
    pub fn in_second_half(self) -> Self {
        Self {
            ordinal: (self.daemons + self.ordinal) / 2,
            ..self
        }
    }

    fn relist_delay(self) -> Duration {
        RELIST_STEP * self.ordinal as u32
    }
}

/// What to do next about one prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessAction {
    /// List the prefix to confirm the cached items.
    Confirm,
    /// Cut the watch and list the prefix.
    CutWatch,
    /// Nothing until this time, unless something changes.
    WaitUntil(Duration),
}

#[derive(Clone, Debug, Default)]
struct PrefixFreshness {
    confirmation: Option<Confirmation>,
    /// Number of the latest confirmation of each daemon, by incarnation.
    latest_numbers: HashMap<u64, u64>,
    /// Earliest time of the next confirming read, after a failed one.
    retry_at: Duration,
    /// Time at which the open watch was sent; `None` if there is none.
    watch_opened_at: Option<Duration>,
    /// Time at which the open watch is cut; `None` while it is trusted.
    cut_at: Option<Duration>,
}

/// Freshness of the cached items of all watched prefixes.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    prefixes: Vec<PrefixFreshness>,
    /// Time at which the latest call that stayed unanswered was sent.
    unanswered_at: Option<Duration>,
}

impl FreshnessTracker {
    /// A tracker of `prefixes` prefixes, none of which is confirmed.
    #[must_use]
    pub fn new(prefixes: usize) -> Self {
        Self {
            prefixes: vec![PrefixFreshness::default(); prefixes],
            unanswered_at: None,
        }
    }

    /// The latest confirmation of a prefix.
    #[must_use]
    pub fn confirmation(&self, prefix: usize) -> Option<Confirmation> {
        self.prefixes[prefix].confirmation
    }

    /// Time as of which the cached items of a prefix are known to have been complete.
    #[must_use]
    pub fn confirmed_at(&self, prefix: usize) -> Option<Duration> {
        self.confirmation(prefix).map(|c| c.as_of)
    }

    /// Records that the store answered a call of any kind. Returns whether an earlier call had
    /// stayed unanswered.
    pub fn on_answer(&mut self, now: Duration, place: Place) -> bool {
        let Some(unanswered_at) = self.unanswered_at.take() else {
            return false;
        };
        for prefix in &mut self.prefixes {
            if prefix.watch_opened_at.is_some_and(|at| at <= unanswered_at) {
                prefix.cut_at_latest(now + place.relist_delay());
            }
        }
        true
    }

    /// Records that a call sent at `sent_at` stayed unanswered.
    pub fn on_no_answer(&mut self, sent_at: Duration) {
        self.unanswered_at = self.unanswered_at.max(Some(sent_at));
    }

    /// Records that a watch was sent.
    pub fn on_watch_opened(&mut self, now: Duration, prefix: usize) {
        let prefix = &mut self.prefixes[prefix];
        prefix.watch_opened_at = Some(now);
        prefix.cut_at = None;
    }

    /// Records that the watch was answered, failed or was cut.
    pub fn on_watch_ended(&mut self, prefix: usize) {
        let prefix = &mut self.prefixes[prefix];
        prefix.watch_opened_at = None;
        prefix.cut_at = None;
    }

    /// Records a confirmation by an own listing or through a peer. Returns the age that the view had
    /// before, or `None` if the confirmation is not news.
    pub fn on_confirmed(
        &mut self,
        now: Duration,
        prefix: usize,
        confirmation: Confirmation,
    ) -> Option<Duration> {
        let prefix = &mut self.prefixes[prefix];
        let ConfirmationId {
            incarnation,
            number,
        } = confirmation.id;
        // Only the first arrival of a listing's confirmation tells its age.
        let latest = prefix.latest_numbers.get(&incarnation);
        if latest.is_some_and(|latest| number <= *latest) {
            return None;
        }
        if prefix.latest_numbers.len() >= MAX_CONFIRMERS {
            prefix.latest_numbers.clear();
        }
        prefix.latest_numbers.insert(incarnation, number);
        let confirmed_at = prefix.confirmation.map(|c| c.as_of);
        if confirmed_at >= Some(confirmation.as_of) {
            return None;
        }
        prefix.confirmation = Some(confirmation);
        Some(now.saturating_sub(confirmed_at.unwrap_or_default()))
    }

    /// Records that a confirming read failed; the next one follows after `pause`.
    pub fn on_confirm_failed(&mut self, now: Duration, prefix: usize, pause: Duration) {
        self.prefixes[prefix].retry_at = now + pause;
    }

    /// Records that a change arrived from a listing or a peer while the watch was open.
    pub fn on_missed_change(&mut self, now: Duration, prefix: usize, place: Place) {
        let prefix = &mut self.prefixes[prefix];
        if prefix.watch_opened_at.is_some() {
            prefix.cut_at_latest(now + MISSED_CHANGE_GRACE + place.relist_delay());
        }
    }

    /// What to do next about a prefix. Before the first listing, which the watch loop makes, there
    /// is nothing to confirm.
    #[must_use]
    pub fn next_action(&self, now: Duration, prefix: usize, place: Place) -> FreshnessAction {
        let prefix = &self.prefixes[prefix];
        if prefix.cut_at.is_some_and(|at| now >= at) {
            return FreshnessAction::CutWatch;
        }
        let read_at = prefix.confirmation.map_or(now + CONFIRM_INTERVAL, |c| {
            (c.as_of + CONFIRM_INTERVAL + place.read_delay()).max(prefix.retry_at)
        });
        if now >= read_at {
            return FreshnessAction::Confirm;
        }
        FreshnessAction::WaitUntil(prefix.cut_at.map_or(read_at, |at| at.min(read_at)))
    }
}

impl PrefixFreshness {
    fn cut_at_latest(&mut self, at: Duration) {
        self.cut_at = Some(self.cut_at.map_or(at, |cut_at| cut_at.min(at)));
    }
}
