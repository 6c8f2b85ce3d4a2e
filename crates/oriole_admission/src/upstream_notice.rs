//! What upstreams say of themselves in their answers: that they leave, and for how long they want no
//! requests.
//!
//! A notice holds for one run of an upstream. Neither the store nor a peer takes it back, since they
//! may know of it later than its caller; another run of the same instance begins without notices.
//!
//! ```
//! use std::time::Duration;
//! use oriole_admission::upstream_notice::UpstreamNotices;
//!
//! let mut notices = UpstreamNotices::default();
//! let now = Duration::from_secs(10);
//! notices.pause(now, 1, Duration::from_secs(2));
//! notices.leave(now, 2);
//! assert_eq!(notices.free_at(now, 1), Some(Duration::from_secs(12)));
//! assert_eq!(notices.free_at(now, 2), Some(Duration::MAX));
//! assert_eq!(notices.free_at(now + Duration::from_secs(2), 1), None);
//! ```

use std::collections::HashMap;
use std::time::Duration;

/// Longest time for which a notice is kept. A run that leaves is gone long before, and an upstream that
/// still wants no requests says so again.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Number of notices above which old ones are dropped.
const MAX_NOTICES: usize = 4096;

/// Notice of one run of an upstream.
#[derive(Clone, Copy, Debug)]
struct Notice {
    received_at: Duration,
    /// Time until which it gets no requests; [`Duration::MAX`] if it leaves.
    until: Duration,
}

/// Notices by run. A run is named by a hash of its instance and its start.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    by_run: HashMap<u64, Notice>,
}

impl UpstreamNotices {
    /// Notes that a run leaves. Returns whether that is new.
    pub fn leave(&mut self, now: Duration, run: u64) -> bool {
        self.insert(now, run, Duration::MAX) != Some(Duration::MAX)
    }

    /// Notes that a run wants no requests for `time`, which replaces what it said before; zero ends a
    /// pause. A run that leaves stays so. Returns whether a pause begins.
    pub fn pause(&mut self, now: Duration, run: u64, time: Duration) -> bool {
        if self.free_at(now, run) == Some(Duration::MAX) {
            return false;
        }
        let until = now.saturating_add(time.min(MAX_AGE));
        let previous = self.insert(now, run, until);
        previous.is_none_or(|previous| previous <= now) && until > now
    }

    /// Time from which a run takes requests again: [`Duration::MAX`] if it leaves, `None` if it takes
    /// them now.
    #[must_use]
    pub fn free_at(&self, now: Duration, run: u64) -> Option<Duration> {
        let notice = self.by_run.get(&run)?;
        (now < notice.until && now < notice.received_at + MAX_AGE).then_some(notice.until)
    }

    fn insert(&mut self, now: Duration, run: u64, until: Duration) -> Option<Duration> {
        if self.by_run.len() >= MAX_NOTICES {
            self.by_run
                .retain(|_, n| now < n.until && now < n.received_at + MAX_AGE);
        }
        let notice = Notice {
            received_at: now,
            until,
        };
        self.by_run.insert(run, notice).map(|n| n.until)
    }
}
