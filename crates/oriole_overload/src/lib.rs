//! Overload protection for streams of model groups: pace, concurrency limit and admission.
//!
//! All ranks of a group execute each pass together, and each pass yields an event for every running
//! stream. The pause between events therefore tells how loaded the group is, and a pause of all
//! streams at once that the group stands still. The modules are state machines: events and the time
//! go in, decisions come out.
//!
//! - [`group_progress`]: pause between events and standstill of one group, from own streams and
//!   peers' records.
//! - [`stream_limit`]: the limit on running streams of a service, learned from the pause.
//! - [`stream_admission`]: which requests start, wait or are refused, by priority and account.
//!
//! ```
//! use std::time::Duration;
//! use oriole_overload::prelude::*;
//!
//! let mut group = GroupProgress::new(7);
//! group.on_stream_started();
//! group.on_event(Duration::from_millis(80), Some(Duration::ZERO));
//! assert_eq!(group.pause(Duration::from_millis(90)), Some(Duration::from_millis(80)));
//! ```
#![forbid(unsafe_code)]

mod class_window;
pub mod group_progress;
mod rate;
pub mod stream_admission;
mod stream_demand;
pub mod stream_limit;

/// The items that a daemon usually needs from this crate.
pub mod prelude {
    pub use crate::group_progress::{GroupProgress, GroupRecord, Transition};
    pub use crate::stream_admission::{
        Conditions, Decision, HoldReason, Standstill, StreamAdmission, StreamDemand,
    };
    pub use crate::stream_limit::{LimitInput, StreamLimit};
}
