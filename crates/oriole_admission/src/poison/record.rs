//! What processes tell each other about crashes.

use std::time::Duration;

use oriole_types::digest::Digest;
use oriole_types::domain_type;
use oriole_types::ids::VmName;

domain_type! {
    /// Names one crash of one upstream.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct CrashId {
        /// VM of the upstream.
        pub vm: VmName,
        /// Number of the crash, unique among the crashes that this VM's agents saw.
        pub number: u64,
    }
}

domain_type! {
    /// One crash in which a content had a part.
    #[derive(Eq)]
    pub struct CrashReport {
        /// The crash.
        pub id: CrashId,
        /// Whether the content ran alone on purpose, being suspect.
        pub solo: bool,
        /// Whether the content was cleared of it by completing alone.
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
    /// Message that spreads suspects and quarantine; empty in a quiet fleet.
    #[derive(Default, Eq)]
    pub struct PoisonDigest {
        /// Records that changed, newest change first.
        pub records: Vec<PoisonRecord>,
    }
}

/// One crash as a ledger keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) at: Duration,
    pub(super) solo: bool,
    pub(super) excused: bool,
}

impl Crash {
    pub(super) fn note(&self, id: &CrashId, now: Duration) -> CrashReport {
        CrashReport {
            id: id.clone(),
            solo: self.solo,
            excused: self.excused,
            age_ms: now.saturating_sub(self.at).as_millis() as u64,
        }
    }
}
