//! Conversion of numbers that come from outside: store entries, headers, engines' reports.
//!
//! The conversions of the standard library panic on numbers that are too large or not a number, and a
//! sum of times may overflow. So each such number is bounded where it is decoded.

use std::time::Duration;

/// Longest time that is taken from outside. Any sum of a few of them and the time since the start fits
/// a [`Duration`] and the runtime's clock.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// A time of `secs` seconds, at most [`MAX_DURATION`]. Zero if `secs` is negative or not a number.
///
/// ```
/// use std::time::Duration;
/// use oriole_fleet::bounded::{self, MAX_DURATION};
/// assert_eq!(bounded::duration_from_secs(0.5), Duration::from_millis(500));
/// assert_eq!(bounded::duration_from_secs(1e300), MAX_DURATION);
/// assert_eq!(bounded::duration_from_secs(f64::NAN), Duration::ZERO);
/// ```
#[must_use]
pub fn duration_from_secs(secs: f64) -> Duration {
    if secs > 0.0 {
        let duration = Duration::try_from_secs_f64(secs).unwrap_or(MAX_DURATION);
        duration.min(MAX_DURATION)
    } else {
        Duration::ZERO
    }
}

/// A time of `ms` milliseconds, bounded like [`duration_from_secs`].
#[must_use]
pub fn duration_from_ms(ms: f64) -> Duration {
    duration_from_secs(ms / 1000.0)
}
