//! Admission at one upstream: cold start, drain, poison quarantine and fencing.
//!
//! The agent beside an upstream is the only sender of its work, so one local machine, the
//! [`gate::Gate`], can promise what no estimate of a remote process can. Events and the time go in,
//! [`gate::Action`]s come out; the daemon carries them out.
//!
//! The tour:
//!
//! - [`gate`]: what may start, what waits, what is refused and why.
//! - [`warmth`]: how many requests an upstream is proven to bear.
//! - [`poison`]: suspects and quarantine by content digest, as state that processes merge.
//! - [`confirmation`]: whether the configuration at hand may still be acted on.
//! - [`fence`]: refusal of orders with an old fencing number for engines that do not check.
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
pub mod gate;
pub mod poison;
pub mod warmth;

/// Everything that a daemon usually needs from this crate.
pub mod prelude {
    pub use crate::confirmation::{Confirmation, ConfirmationTracker};
    pub use crate::fence::{FenceGate, FenceRefusal};
    pub use crate::gate::{
        Action, Decision, FinishKind, Gate, GateConfig, Offer, Refusal, UpstreamReport, WorkId,
    };
    pub use crate::poison::{AllowedUpstreams, ContentStatus, PoisonDigest, PoisonLedger, homes};
}
