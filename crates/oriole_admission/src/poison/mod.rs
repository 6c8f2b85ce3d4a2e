//! Suspects and quarantine of content that crashes upstreams.
//!
//! When an upstream crashes, each content that it ran becomes suspect, unless the content has
//! completed before. A suspect runs alone, at a single upstream of the pool: the first of its
//! [`homes`]. If it completes alone, its crashes are excused; if the upstream crashes again, it is
//! quarantined. Only a crash during a solo run shows which content caused it, so content that merely
//! ran at the same time is not quarantined. A content that was the only one by chance is not blamed
//! for a crash either, since upstreams also fail for reasons of their own.
//!
//! The choice of upstreams bounds the number of crashes. Content that never completed runs at two
//! homes at most, so at most two upstreams crash before the first crash is known. The third crash
//! is that of the suspect alone, and quarantines it.
//!
//! Where a process neither runs content nor may run it alone, [`PartScreen`] decides on the same
//! ledger: it holds back what is suspected, whole requests and shared parts of prompts, and tries it
//! once in a while.

mod home;
mod ledger;
mod outbox;
mod record;
mod screen;

pub use self::home::{HOMES_PER_CONTENT, home_of_suspect, homes};
pub use self::ledger::{
    AllowedUpstreams, ContentStatus, ContentSuspicion, PoisonLedger, Suspicion,
};
pub use self::outbox::PoisonOutbox;
pub use self::record::{CrashId, CrashReport, PoisonDigest, PoisonRecord};
pub use self::screen::{Claim, PartScreen, ScreenDigest, ScreenedRequest, Verdict};
