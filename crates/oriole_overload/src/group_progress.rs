//! Estimates the pause between events of a group and whether the group stands still.

use std::collections::HashMap;
use std::time::Duration;

/// Age after which a peer's record no longer counts: four heartbeats of 150 ms, so that the loss of
/// some of them leaves a record.
pub const RECORD_TTL: Duration = Duration::from_millis(600);

/// Mean time from an event at a peer to the arrival of its record: half a heartbeat interval.
const TRANSPORT_AGE: Duration = Duration::from_millis(75);

/// Least silence of a group that counts as a standstill, and several passes of a loaded group.
const STANDSTILL_MIN: Duration = Duration::from_millis(400);

/// Silence that counts as a standstill, in usual pauses.
const STANDSTILL_PAUSES: u32 = 4;

/// Streams that must be silent for a standstill. A single silent stream may be due to its upstream
/// alone.
const STANDSTILL_MIN_STREAMS: u32 = 2;

/// Peers that must report the same, if the daemon's own streams do not show it.
const MIN_WITNESSES: usize = 2;

/// Length of one part of the window in which own pauses are counted.
const BUCKET: Duration = Duration::from_millis(100);

/// Parts of the window, which covers 500 ms.
const BUCKETS: usize = 5;

/// Longest plausible pause or age in a peer's record. Callers leave long before.
const MAX_PLAUSIBLE: Duration = Duration::from_secs(60);

/// Interval of updates of the usual pause.
const USUAL_STEP: Duration = Duration::from_millis(200);

/// Weight of the present pause in the usual pause. A slowdown becomes usual within a second, so that
/// slow passes do not count as a standstill each.
const USUAL_WEIGHT: f64 = 0.25;

/// Longest pause that counts for the usual pause. Callers leave after a gap of 2 s, so a standstill
/// must be recognized by then, also right after another one.
const USUAL_MAX: Duration = Duration::from_millis(500);

/// What one daemon tells its peers about a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// Hash of the group's name and epoch.
    pub group: u64,
    /// Mean pause between events over the last 500 ms; zero if there was none.
    pub pause: Duration,
    /// Number of pauses in the mean.
    pub pauses: u32,
    /// Time since the last event of any of its streams.
    pub last_event_age: Duration,
    /// Its streams that have had an event.
    pub running: u32,
}

impl GroupRecord {
    fn is_plausible(&self) -> bool {
        let has_pause = self.pauses == 0 || !self.pause.is_zero();
        has_pause && self.pause <= MAX_PLAUSIBLE && self.last_event_age <= MAX_PLAUSIBLE
    }
}

/// Change of a group's standstill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The group began to stand still.
    Stopped,
    /// The group goes on after this time without an event.
    WentOn(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    sum: Duration,
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct PeerRecord {
    received_at: Duration,
    event_at: Duration,
    pause: Duration,
    pauses: u32,
    running: u32,
}

/// Pace and progress of one epoch of a group, as one daemon sees it.
#[derive(Debug)]
pub struct GroupProgress {
    id: u64,
    buckets: [Bucket; BUCKETS],
    own_running: u32,
    own_event_at: Option<Duration>,
    peers: HashMap<u64, PeerRecord>,
    usual: Option<Duration>,
    usual_updated_at: Duration,
    stopped_since: Option<Duration>,
}

impl GroupProgress {
    /// A group without any record. `id` is the hash of its name and epoch.
    #[must_use]
    pub fn new(id: u64) -> Self {
        Self {
            id,
            buckets: [Bucket::default(); BUCKETS],
            own_running: 0,
            own_event_at: None,
            peers: HashMap::new(),
            usual: None,
            usual_updated_at: Duration::ZERO,
            stopped_since: None,
        }
    }

    /// Hash of the group's name and epoch.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Records that one of the daemon's own streams had its first event.
    pub fn on_stream_started(&mut self) {
        self.own_running += 1;
    }

    /// Records the end of a stream that had an event.
    pub fn on_stream_ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    /// Records an event of one of the daemon's own streams; `previous` is the time of the event
    /// before it in the same stream.
    pub fn on_event(&mut self, now: Duration, previous: Option<Duration>) {
        self.own_event_at = Some(now);
        let Some(previous) = previous else {
            return;
        };
        let number = bucket_number(now);
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket.sum += now.saturating_sub(previous);
        bucket.count += 1;
    }

    /// Takes in a peer's record, unless it is implausible or of another group or epoch.
    pub fn on_record(&mut self, now: Duration, peer: u64, record: &GroupRecord) {
        if record.group != self.id || !record.is_plausible() {
            return;
        }
        let record = PeerRecord {
            received_at: now,
            event_at: now.saturating_sub(record.last_event_age + TRANSPORT_AGE),
            pause: record.pause,
            pauses: record.pauses,
            running: record.running,
        };
        self.peers.insert(peer, record);
    }

    /// What this daemon tells its peers; `None` if it has no stream here.
    #[must_use]
    pub fn own_record(&self, now: Duration) -> Option<GroupRecord> {
        let event_at = self.own_event_at.filter(|_| self.own_running > 0)?;
        let (sum, pauses) = self.own_pauses(now);
        Some(GroupRecord {
            group: self.id,
            pause: sum.checked_div(pauses).unwrap_or_default(),
            pauses,
            last_event_age: now.saturating_sub(event_at),
            running: self.own_running,
        })
    }

    /// Mean pause between events of all daemons' streams; `None` if there are no recent ones.
    #[must_use]
    pub fn pause(&self, now: Duration) -> Option<Duration> {
        let (sum, count) = self.own_pauses(now);
        let (mut sum, mut count) = (sum.as_secs_f64(), f64::from(count));
        for peer in self.fresh_peers(now) {
            sum += peer.pause.as_secs_f64() * f64::from(peer.pauses);
            count += f64::from(peer.pauses);
        }
        (count > 0.0).then(|| Duration::from_secs_f64(sum / count))
    }

    /// Streams of all daemons that have had an event.
    #[must_use]
    pub fn running(&self, now: Duration) -> u32 {
        let peers = self.fresh_peers(now).map(|peer| peer.running);
        peers.fold(self.own_running, u32::saturating_add)
    }

    /// Time since the last event of any daemon's streams; `None` if none is known.
    #[must_use]
    pub fn last_event_age(&self, now: Duration) -> Option<Duration> {
        let peers = self.fresh_peers(now).map(|peer| peer.event_at);
        let latest = peers.chain(self.own_event_at).max()?;
        Some(now.saturating_sub(latest))
    }

    /// Whether the group stands still.
    #[must_use]
    pub fn stands_still(&self) -> bool {
        self.stopped_since.is_some()
    }

    /// Time without an event of a group that stands still; `None` while it goes on.
    #[must_use]
    pub fn standstill(&self, now: Duration) -> Option<Duration> {
        let since = self.stopped_since?;
        Some(now.saturating_sub(since))
    }

    /// Judges whether the group stands still. `in_flight` is the number of its requests of all
    /// daemons, including those without an event; without any, it does not.
    pub fn tick(&mut self, now: Duration, in_flight: u32) -> Option<Transition> {
        self.peers
            .retain(|_, peer| now < peer.received_at + RECORD_TTL);
        self.update_usual(now);
        match self.stopped_since {
            Some(since) => {
                let went_on = self.last_evidence(now).is_some_and(|at| at > since);
                if went_on || in_flight == 0 {
                    self.stopped_since = None;
                    return Some(Transition::WentOn(now.saturating_sub(since)));
                }
                None
            }
            None => {
                let last = self.last_evidence(now).filter(|_| in_flight > 0)?;
                let is_silent = now.saturating_sub(last) > self.threshold()?;
                if !is_silent || !self.has_witnesses(now) {
                    return None;
                }
                self.stopped_since = Some(last);
                Some(Transition::Stopped)
            }
        }
    }

    /// Silence that counts as a standstill; `None` as long as no pause is known.
    fn threshold(&self) -> Option<Duration> {
        Some((self.usual? * STANDSTILL_PAUSES).max(STANDSTILL_MIN))
    }

    fn update_usual(&mut self, now: Duration) {
        let Some(pause) = self.pause(now).map(|pause| pause.min(USUAL_MAX)) else {
            return;
        };
        let Some(usual) = self.usual else {
            (self.usual, self.usual_updated_at) = (Some(pause), now);
            return;
        };
        if now < self.usual_updated_at + USUAL_STEP {
            return;
        }
        self.usual_updated_at = now;
        let mean = usual.as_secs_f64() * (1.0 - USUAL_WEIGHT) + pause.as_secs_f64() * USUAL_WEIGHT;
        self.usual = Some(Duration::from_secs_f64(mean));
    }

    /// Time of the last event that counts. While own streams are silent for longer than a record's
    /// lifetime beyond the threshold, a single peer's word is not enough to refute it: its record
    /// may be wrong.
    fn last_evidence(&self, now: Duration) -> Option<Duration> {
        let (mut latest, mut second) = (None, None);
        for peer in self.fresh_peers(now) {
            let at = Some(peer.event_at);
            if at > latest {
                (latest, second) = (at, latest);
            } else if at > second {
                second = at;
            }
        }
        let Some(own) = self.own_event_at else {
            return latest;
        };
        let limit = self.threshold().unwrap_or(STANDSTILL_MIN) + RECORD_TTL;
        let contradicts = self.own_running >= STANDSTILL_MIN_STREAMS && now > own + limit;
        Some(own).max(if contradicts { second } else { latest })
    }

    /// Whether enough streams are silent, and not only by the word of one peer.
    fn has_witnesses(&self, now: Duration) -> bool {
        let peers = self.fresh_peers(now).filter(|peer| peer.running > 0);
        self.running(now) >= STANDSTILL_MIN_STREAMS
            && (self.own_running > 0 || peers.count() >= MIN_WITNESSES)
    }

    fn fresh_peers(&self, now: Duration) -> impl Iterator<Item = &PeerRecord> {
        self.peers
            .values()
            .filter(move |peer| now < peer.received_at + RECORD_TTL)
    }

    fn own_pauses(&self, now: Duration) -> (Duration, u32) {
        let newest = bucket_number(now);
        let fresh = self
            .buckets
            .iter()
            .filter(|b| b.count > 0 && b.number + BUCKETS as u64 > newest);
        fresh.fold((Duration::ZERO, 0), |(sum, count), b| {
            (sum + b.sum, count + b.count)
        })
    }
}

fn bucket_number(now: Duration) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}
