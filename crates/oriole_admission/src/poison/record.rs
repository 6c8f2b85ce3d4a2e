//! Messages between processes about crashes.

use std::time::Duration;

use oriole_types::digest::Digest;
use oriole_types::domain_type;
use oriole_types::ids::VmName;

domain_type! {
    /// Identifies one crash of one upstream.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct CrashId {
        /// VM of the upstream.
        pub vm: VmName,
        /// Number of the crash, unique among the crashes that the VM's agents have seen.
        pub number: u64,
    }
}

domain_type! {
    /// One crash during which a content ran.
    #[derive(Eq)]
    pub struct CrashReport {
        /// Which crash it was.
        pub id: CrashId,
        /// Whether the content was a suspect and ran alone on purpose.
        pub solo: bool,
        /// Whether the crash no longer counts, because the content has completed alone since.
        pub excused: bool,
        /// Time since the crash, in milliseconds.
        pub age_ms: u64,
    }
}

domain_type! {
    /// All known crashes of one content.
    #[derive(Eq)]
    pub struct PoisonRecord {
        /// Digest of the content.
        pub content: Digest,
        /// Its crashes.
        pub crashes: Vec<CrashReport>,
    }
}

domain_type! {
    /// Message that spreads crashes of contents between processes; empty if nothing changed.
    #[derive(Default, Eq)]
    pub struct PoisonDigest {
        /// Records that changed, newest change first.
        pub records: Vec<PoisonRecord>,
    }
}

/// One crash in a ledger's record of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Duration,
    pub(super) solo: bool,
    pub(super) excused: bool,
}

impl Crash {
    pub(super) fn report(&self, id: &CrashId, now: Duration) -> CrashReport {
        CrashReport {
            id: id.clone(),
            solo: self.solo,
            excused: self.excused,
            age_ms: now.saturating_sub(self.at).as_millis() as u64,
        }
    }
}
