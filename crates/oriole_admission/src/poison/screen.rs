//! Holds back requests with a part that may crash upstreams, for daemons that send many different
//! requests with shared parts and cannot run one of them alone.
//!
//! Each shared part of a request that an upstream was about to answer when it crashed becomes
//! suspect. A part that gets past that point anywhere is excused, so suspicion of a popular part ends
//! within moments. Others are held back until a single request in the whole fleet tries them: the
//! fleet loses at most one upstream for each trial, and the time between trials grows with each crash
//! that this part explains better than the others. A part that explains several crashes clears those
//! that were only there. A part that no upstream is known to have lived with waits longer for its first
//! trial, unless other upstreams crashed at the same time without it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_types::digest::Digest;
use oriole_types::ids::VmName;

use super::ledger::{PoisonLedger, Suspicion};
use super::record::{CrashId, PoisonDigest};

/// Age of a crash up to which a request waits for its parts to be excused. Requests with a popular
/// part that are under way elsewhere pass within this time.
const FRESH_SUSPICION: Duration = Duration::from_millis(300);

/// Time after which a claim without a result no longer keeps others from a trial.
const CLAIM_TTL: Duration = Duration::from_secs(2);

/// Factor on the delay of a trial of several suspects at once, which leaves time to try each of them
/// in a request of its own.
const JOINT_TRIAL_FACTOR: u32 = 2;

/// Most claims that are kept.
const MAX_CLAIMS: usize = 256;

/// Most parts that are remembered as passed; beyond it the one that was added first is dropped.
const MAX_PASSED: usize = 4096;

/// A daemon's claim to try a part. The one with the lowest number wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The part.
    pub part: Digest,
    /// Random number that tells claims apart.
    pub number: u64,
    /// Time at which the claim was made.
    pub at: Duration,
}

/// Decision on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// None of its parts is suspected.
    Clear,
    /// Some part was suspected just now, or is being tried, and may be excused within moments.
    Wait,
    /// Some part is suspected; a request may come again at this time.
    Hold(Duration),
    /// It may try its suspected parts once its claims have been sent to the peers and still win.
    Trial {
        /// Claims of this request.
        claims: Vec<Claim>,
        /// Upstream that crashed last; another crash does least harm in its group.
        crashed: VmName,
    },
}

/// Suspected parts and the claims to try them.
#[derive(Clone, Debug, Default)]
pub struct PartScreen {
    ledger: PoisonLedger,
    claims: BTreeMap<Digest, Claim>,
    /// Parts that upstreams have lived with, by the first bytes of their digests.
    passed: BTreeSet<u64>,
    /// The passed parts in the order in which they were added.
    passed_order: VecDeque<u64>,
}

impl PartScreen {
    /// Decides whether a request with these shared parts may be sent. `number` is random.
    pub fn screen(&mut self, now: Duration, parts: &[Digest], number: u64) -> Verdict {
        let suspects: Vec<(Digest, Suspicion)> = parts
            .iter()
            .filter_map(|part| Some((*part, self.ledger.suspicion(part)?)))
            .collect();
        let Some((_, newest)) = suspects.iter().max_by_key(|(_, s)| s.newest_at) else {
            return Verdict::Clear;
        };
        if now < newest.newest_at + FRESH_SUSPICION {
            return Verdict::Wait;
        }
        let is_joint = suspects.len() > 1;
        let due_at = suspects.iter().map(|(part, suspicion)| {
            let has_passed = self.passed.contains(&part.prefix_u64());
            let delay = suspicion.trial_delay(has_passed);
            let factor = if is_joint { JOINT_TRIAL_FACTOR } else { 1 };
            suspicion.newest_at + delay * factor
        });
        let due_at = due_at.max().unwrap_or_default();
        if now < due_at {
            return Verdict::Hold(due_at);
        }
        let mut parts = suspects.iter().map(|(part, _)| part);
        if parts.any(|part| self.live_claim(now, part).is_some()) {
            return Verdict::Wait;
        }
        let crashed = newest.newest_vm.clone();
        let claims: Vec<Claim> = suspects
            .iter()
            .map(|(part, _)| Claim {
                part: *part,
                number,
                at: now,
            })
            .collect();
        for claim in &claims {
            self.claims.insert(claim.part, *claim);
        }
        Verdict::Trial { claims, crashed }
    }

    /// Whether claims that were made earlier have not lost to a peer's.
    #[must_use]
    pub fn wins(&self, claims: &[Claim]) -> bool {
        claims.iter().all(|own| {
            let held = self.claims.get(&own.part);
            held.is_some_and(|held| held.number == own.number)
        })
    }

    /// Records that an upstream crashed while it was about to answer requests with these parts.
    /// Returns whether that was news.
    pub fn record_crash(&mut self, now: Duration, id: &CrashId, parts: &BTreeSet<Digest>) -> bool {
        let before = self.ledger.version();
        self.ledger.record_crash(now, id, parts, false);
        self.ledger.version() != before
    }

    /// Records that an upstream began to answer a request with these parts at `began_at` and lived.
    /// Returns whether that excused any.
    pub fn record_passed(&mut self, parts: &[Digest], began_at: Duration) -> bool {
        let mut is_news = false;
        for part in parts {
            is_news |= self.ledger.record_passed(part, began_at);
            self.remember_passed(part.prefix_u64());
        }
        is_news
    }

    /// Whether a part is suspected.
    #[must_use]
    pub fn is_suspect(&self, part: &Digest) -> bool {
        self.ledger.suspicion(part).is_some()
    }

    /// Takes in crashes and claims of a peer.
    pub fn merge(&mut self, now: Duration, digest: &PoisonDigest, claims: &[Claim]) {
        self.ledger.merge(now, digest);
        for claim in claims {
            let loses = self
                .live_claim(now, &claim.part)
                .is_some_and(|held| held.number <= claim.number);
            if !loses && self.claims.len() < MAX_CLAIMS {
                self.claims.insert(claim.part, *claim);
            }
        }
    }

    /// Crashes for the next message to peers, at most `limit` records. `turn` counts messages.
    #[must_use]
    pub fn digest(&self, now: Duration, turn: u64, limit: usize) -> PoisonDigest {
        self.ledger.digest_in_turn(now, turn, limit)
    }

    /// Claims that keep others from a trial now.
    pub fn live_claims(&self, now: Duration) -> impl Iterator<Item = &Claim> {
        self.claims
            .values()
            .filter(move |claim| now < claim.at + CLAIM_TTL)
    }

    /// Forgets expired crashes and claims; cheap to call often.
    pub fn tick(&mut self, now: Duration) {
        self.ledger.tick(now);
        self.claims.retain(|_, claim| now < claim.at + CLAIM_TTL);
    }

    fn remember_passed(&mut self, part: u64) {
        if !self.passed.insert(part) {
            return;
        }
        self.passed_order.push_back(part);
        if self.passed_order.len() > MAX_PASSED
            && let Some(oldest) = self.passed_order.pop_front()
        {
            self.passed.remove(&oldest);
        }
    }

    fn live_claim(&self, now: Duration, part: &Digest) -> Option<&Claim> {
        self.claims
            .get(part)
            .filter(|claim| now < claim.at + CLAIM_TTL)
    }
}
