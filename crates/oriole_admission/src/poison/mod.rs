//! Suspects and quarantine of content that crashes upstreams.
//!
//! When an upstream crashes, each content it ran is suspect, unless that content has completed
//! before. A suspect runs alone, at one place in the fleet: its first [`homes`] entry. If it
//! completes alone it is cleared; if the upstream crashes again it is quarantined. What ran beside
//! it is never condemned, since only a crash of a solo run tells who caused it. Having been the only
//! request by chance proves nothing: upstreams also fail of their own accord.
//!
//! The number of crashes is bounded by where content may run. Content that never completed runs at
//! two homes at most, so that at most two upstreams crash before the first crash is known; the
//! third crash is that of the suspect alone, and condemns it.

mod home;
mod ledger;
mod outbox;
mod record;

pub use self::home::{HOMES_PER_CONTENT, home_of_suspect, homes};
pub use self::ledger::{AllowedUpstreams, ContentStatus, PoisonLedger};
pub use self::outbox::PoisonOutbox;
pub use self::record::{CrashId, CrashReport, PoisonDigest, PoisonRecord};
