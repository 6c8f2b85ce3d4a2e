//! Admission at one upstream: cold start, drain, announced limits, poison quarantine and fencing.
//!
//! The agent on an upstream's VM is the only sender of its work, so a local state machine, the
//! [`gate::Gate`], can guarantee limits that a remote process could only estimate. Its inputs are
//! events and the time; it returns [`gate::Action`]s that the daemon carries out.
//!
//! Modules:
//!
//! - [`gate`]: which work starts, waits or is refused, and why.
//! - [`warmth`]: the concurrency limit of an upstream, from cold start until it is warm.
//! - [`poison`]: suspects and quarantine by content digest, as state that processes merge.
//! - [`confirmation`]: whether the held configuration is recent enough to admit work.
//! - [`fleet_limit`]: request rates that upstreams announce, shared by daemons that do not ask each
//!   other.
//! - [`upstream_notice`]: upstreams that leave, or that want no requests for a while.
//! - [`fence`]: refusal of orders with an old fencing number, for engines that do not check it.
//!
//! ```
//! use std::time::Duration;
//! use oriole_admission::prelude::*;
//! use oriole_types::prelude::*;
//!
//! let now = Duration::ZERO;
//! let mut gate = Gate::new(GateConfig::default(), now);
//! gate.set_service_state(now, ServiceState::InService);
//! gate.upstream_connected(now, 0);
//! gate.confirm_configuration(now, &Confirmation::fresh("south".into()));
//! let offer = Offer::new(WorkId(1), Digest::of(b"body"), Duration::from_secs(30));
//! assert_eq!(gate.offer(now, offer), Decision::Admit);
//! ```
#![forbid(unsafe_code)]

pub mod confirmation;
pub mod fence;
pub mod fleet_limit;
pub mod gate;
pub mod poison;
pub mod upstream_notice;
pub mod warmth;

/// The items that a daemon usually needs from this crate.
pub mod prelude {
    pub use crate::confirmation::{Confirmation, ConfirmationTracker};
    pub use crate::fence::{FenceGate, FenceRefusal};
    pub use crate::gate::{
        Action, Decision, FinishKind, Gate, GateConfig, Offer, Refusal, UpstreamReport, WorkId,
    };
    pub use crate::poison::{AllowedUpstreams, ContentStatus, PoisonDigest, PoisonLedger, homes};
}
