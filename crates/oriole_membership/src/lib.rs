//! Liveness and load of the fleet's processes, from the VM list, probes and summaries.
//!
//! Everything here is a state machine without I/O: messages and the time go in, messages come out.
//! Time is the [`Duration`](std::time::Duration) since the process started; the random number
//! generator is a parameter.
//!
//! Modules:
//!
//! - [`vm_list`]: the newest VM list ([`vm_list::VmListView`]).
//! - [`detector`]: failure detector for the processes of the own failure domain
//!   ([`detector::Detector`]), with direct and indirect probes, suspicion that can be refuted, and
//!   damping of flapping processes.
//! - [`member`]: state of one process in a detector.
//! - [`message`]: messages between detectors.
//! - [`summary`]: summaries of entries and capacity that failure domains exchange
//!   ([`summary::SummaryTable`]), and the tree that distributes them.
//! - [`load_feed`]: which entries an agent sends its load to, since they got no answer from it for
//!   a while ([`load_feed::LoadFeed`]).
//! - [`subset`]: which upstreams an entry serves.
//!
//! An entry also learns the state of an upstream from its answers. That works without this crate
//! and takes precedence.
#![forbid(unsafe_code)]

pub mod config;
pub mod detector;
pub mod load_feed;
pub mod member;
pub mod message;
pub mod subset;
pub mod summary;
pub mod vm_list;

/// The items that a daemon usually needs from this crate.
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
