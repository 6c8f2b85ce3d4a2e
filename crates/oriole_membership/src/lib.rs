//! Liveness and load of the fleet's processes, from the VM list, heartbeats and digests.
//!
//! Everything here is a plain state machine: messages and the time go in, messages come out. Time
//! is the [`Duration`](std::time::Duration) since the process started; randomness is handed in.
//!
//! The tour:
//!
//! - [`vm_list`]: the newest VM list seen, and who is in a failure domain
//!   ([`vm_list::VmListView`]).
//! - [`detector`]: which processes of the own failure domain live ([`detector::Detector`]): direct
//!   and indirect probes, suspicion that can be refuted, damping of processes that come and go.
//! - [`member`]: what is known of one process.
//! - [`message`]: what detectors send to one another.
//! - [`summary`]: what failure domains tell each other about entries and capacity
//!   ([`summary::SummaryTable`]), and the tree that spreads it.
//! - [`load_feed`]: how an agent tells its load to entries that got no answer from it lately
//!   ([`load_feed::LoadFeed`]).
//! - [`subset`]: which upstreams an entry serves.
//!
//! What an entry learns from answers needs none of this and comes first.
#![forbid(unsafe_code)]

pub mod config;
pub mod detector;
pub mod load_feed;
pub mod member;
pub mod message;
pub mod subset;
pub mod summary;
pub mod vm_list;

/// Everything a daemon needs.
pub mod prelude {
    pub use crate::config::MembershipConfig;
    pub use crate::detector::{Detector, OutgoingMessage};
    pub use crate::load_feed::LoadFeed;
    pub use crate::member::Liveness;
    pub use crate::message::{Message, MessageKind, Update, VmId};
    pub use crate::subset::served_upstreams;
    pub use crate::summary::{DomainSummary, SummaryTable};
    pub use crate::vm_list::VmListView;
}
