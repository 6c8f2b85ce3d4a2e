//! Arrivals and admissions of one priority class in the last seconds.

use std::time::Duration;

/// Seconds over which the share of admitted requests is taken.
const SECONDS: usize = 5;

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    arrivals: u32,
    admitted: u32,
    refused: u32,
}

/// Counts of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct ClassWindow {
    seconds: [Second; SECONDS],
}

impl ClassWindow {
    pub(crate) fn record_arrival(&mut self, now: Duration) {
        self.current(now).arrivals += 1;
    }

    pub(crate) fn record_admitted(&mut self, now: Duration) {
        self.current(now).admitted += 1;
    }

    pub(crate) fn record_refused(&mut self, now: Duration) {
        self.current(now).refused += 1;
    }

    /// Arrivals and admissions of the last five seconds.
    pub(crate) fn totals(&self, now: Duration) -> (u32, u32) {
        let recent = self.recent(now, SECONDS as u64);
        recent.fold((0, 0), |(arrivals, admitted), s| {
            (arrivals + s.arrivals, admitted + s.admitted)
        })
    }

    /// Admissions and refusals of the last second, or up to two.
    pub(crate) fn decided(&self, now: Duration) -> (u32, u32) {
        let recent = self.recent(now, 2);
        recent.fold((0, 0), |(admitted, refused), s| {
            (admitted + s.admitted, refused + s.refused)
        })
    }

    fn recent(&self, now: Duration, seconds: u64) -> impl Iterator<Item = &Second> {
        let newest = now.as_secs();
        let is_recent = move |s: &&Second| s.number <= newest && s.number + seconds > newest;
        self.seconds.iter().filter(is_recent)
    }

    fn current(&mut self, now: Duration) -> &mut Second {
        let number = now.as_secs();
        let second = &mut self.seconds[number as usize % SECONDS];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}
