//! Holds back requests that may crash upstreams, by their whole content and by the shared parts of
//! their prompts, for daemons that cannot run a request alone.
//!
//! A whole request that an upstream had not answered when it crashed becomes suspect. After its first
//! crash one request in the fleet tries it again at once, which excuses what only ran beside the
//! cause; after the second crash it is held back for a while, and after the third it is not sent any
//! more until its crashes are forgotten. A request that upstreams have lived with is held for shorter
//! times and tried twice more.
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

/// Time in which a change is repeated in every message to the peers.
const SPREAD_TIME: Duration = Duration::from_secs(3);

/// Most claims that are kept.
const MAX_CLAIMS: usize = 256;

/// Most requests, and most parts, that are remembered as passed; beyond it the one that was added
/// first is dropped.
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
    /// The request as a whole is suspected; it may come again at this time.
    HoldContent(Duration),
    /// It may be tried once its claims have been sent to the peers and still win.
    Trial {
        /// Claims of this request.
        claims: Vec<Claim>,
        /// Upstream that crashed last; another crash does least harm in its group.
        crashed: VmName,
    },
}

/// The digests by which a request is screened.
#[derive(Clone, Copy, Debug)]
pub struct ScreenedRequest<'a> {
    /// Digest of the whole request, the same each time that it comes.
    pub content: &'a Digest,
    /// Digests of the parts that other requests may share.
    pub parts: &'a [Digest],
}

/// Crashes that one daemon tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScreenDigest {
    /// Crashes by whole requests.
    pub requests: PoisonDigest,
    /// Crashes by shared parts.
    pub parts: PoisonDigest,
}

/// Suspected requests and parts, and the claims to try them.
#[derive(Clone, Debug, Default)]
pub struct PartScreen {
    /// Crashes by whole requests.
    requests: PoisonLedger,
    /// Crashes by shared parts.
    parts: PoisonLedger,
    /// Versions of both ledgers at the last tick.
    seen_versions: (u64, u64),
    /// Time at which a tick first saw those versions.
    changed_at: Duration,
    claims: BTreeMap<Digest, Claim>,
    /// Requests that upstreams have lived with.
    passed_requests: PassedSet,
    /// Parts that upstreams have lived with.
    passed_parts: PassedSet,
}

/// A bounded set of digests, by their first bytes.
#[derive(Clone, Debug, Default)]
struct PassedSet {
    digests: BTreeSet<u64>,
    /// The digests in the order in which they were added.
    order: VecDeque<u64>,
}

impl PassedSet {
    fn contains(&self, digest: &Digest) -> bool {
        self.digests.contains(&digest.prefix_u64())
    }

    fn insert(&mut self, digest: &Digest) {
        let digest = digest.prefix_u64();
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MAX_PASSED
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }
}

impl PartScreen {
    /// Decides whether a request may be sent. `number` is random.
    pub fn screen_request(
        &mut self,
        now: Duration,
        request: ScreenedRequest<'_>,
        number: u64,
    ) -> Verdict {
        let Some(suspicion) = self.requests.content_suspicion(request.content) else {
            return self.screen(now, request.parts, number);
        };
        let has_passed = self.passed_requests.contains(request.content);
        let due_at = suspicion.newest_at + suspicion.trial_delay(has_passed);
        if now < due_at {
            return Verdict::HoldContent(due_at);
        }
        if self.live_claim(now, request.content).is_some() {
            return Verdict::Wait;
        }
        let (mut claims, crashed) = match self.screen(now, request.parts, number) {
            Verdict::Clear => (Vec::new(), suspicion.newest_vm),
            Verdict::Trial { claims, crashed } => (claims, crashed),
            held => return held,
        };
        let claim = Claim {
            part: *request.content,
            number,
            at: now,
        };
        self.claims.insert(claim.part, claim);
        claims.push(claim);
        Verdict::Trial { claims, crashed }
    }

    /// Decides whether a request with these shared parts may be sent. `number` is random.
    pub fn screen(&mut self, now: Duration, parts: &[Digest], number: u64) -> Verdict {
        let suspects: Vec<(Digest, Suspicion)> = parts
            .iter()
            .filter_map(|part| Some((*part, self.parts.suspicion(part, &self.requests)?)))
            .collect();
        let Some((_, newest)) = suspects.iter().max_by_key(|(_, s)| s.newest_at) else {
            return Verdict::Clear;
        };
        if now < newest.newest_at + FRESH_SUSPICION {
            return Verdict::Wait;
        }
        let is_joint = suspects.len() > 1;
        let due_at = suspects.iter().map(|(part, suspicion)| {
            let has_passed = self.passed_parts.contains(part);
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

    /// Records that an upstream crashed while it was about to answer a request. Returns whether that
    /// was news.
    pub fn record_crash(
        &mut self,
        now: Duration,
        id: &CrashId,
        request: ScreenedRequest<'_>,
    ) -> bool {
        let before = self.versions();
        let content = BTreeSet::from([*request.content]);
        self.requests.record_crash(now, id, &content, false);
        let parts = request.parts.iter().copied().collect();
        self.parts.record_crash(now, id, &parts, false);
        self.versions() != before
    }

    /// Records that an upstream answered a request that it began at `began_at`. Returns whether that
    /// excused the request or any of its parts.
    pub fn record_request_passed(
        &mut self,
        request: ScreenedRequest<'_>,
        began_at: Duration,
    ) -> bool {
        self.passed_requests.insert(request.content);
        let is_content_excused = self.requests.record_passed(request.content, began_at);
        self.record_passed(request.parts, began_at) || is_content_excused
    }

    /// Records that an upstream began to answer a request with these parts at `began_at` and lived.
    /// Returns whether that excused any.
    pub fn record_passed(&mut self, parts: &[Digest], began_at: Duration) -> bool {
        let mut is_news = false;
        for part in parts {
            is_news |= self.parts.record_passed(part, began_at);
            self.passed_parts.insert(part);
        }
        is_news
    }

    /// Whether a part is suspected.
    #[must_use]
    pub fn is_suspect(&self, part: &Digest) -> bool {
        self.parts.suspicion(part, &self.requests).is_some()
    }

    /// Takes in crashes and claims of a peer.
    pub fn merge(&mut self, now: Duration, digest: &ScreenDigest, claims: &[Claim]) {
        self.requests.merge(now, &digest.requests);
        self.parts.merge(now, &digest.parts);
        for claim in claims {
            let loses = self
                .live_claim(now, &claim.part)
                .is_some_and(|held| held.number <= claim.number);
            if !loses && self.claims.len() < MAX_CLAIMS {
                self.claims.insert(claim.part, *claim);
            }
        }
    }

    /// Crashes for the next message to peers, at most `limit` records of requests and as many of
    /// parts. `turn` counts messages.
    #[must_use]
    pub fn digest(&self, now: Duration, turn: u64, limit: usize) -> ScreenDigest {
        ScreenDigest {
            requests: self.requests.digest_in_turn(now, turn, limit),
            parts: self.parts.digest_in_turn(now, turn, limit),
        }
    }

    /// Claims that keep others from a trial now.
    pub fn live_claims(&self, now: Duration) -> impl Iterator<Item = &Claim> {
        self.claims
            .values()
            .filter(move |claim| now < claim.at + CLAIM_TTL)
    }

    /// Whether the ledgers have not changed for a while, so that the peers know all of it except for
    /// those that have just started.
    #[must_use]
    pub fn is_settled(&self, now: Duration) -> bool {
        self.seen_versions == self.versions() && now >= self.changed_at + SPREAD_TIME
    }

    /// Forgets expired crashes and claims; cheap to call often.
    pub fn tick(&mut self, now: Duration) {
        self.requests.tick(now);
        self.parts.tick(now);
        if self.seen_versions != self.versions() {
            self.seen_versions = self.versions();
            self.changed_at = now;
        }
        self.claims.retain(|_, claim| now < claim.at + CLAIM_TTL);
    }

    fn versions(&self) -> (u64, u64) {
        (self.requests.version(), self.parts.version())
    }

    fn live_claim(&self, now: Duration, part: &Digest) -> Option<&Claim> {
        self.claims
            .get(part)
            .filter(|claim| now < claim.at + CLAIM_TTL)
    }
}
