//! The answer to a caller that asks where to connect.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom as _;

/// Addresses in one answer; callers read no more.
pub const MAX_ADDRESSES: usize = 64;

/// Ready daemons in the caller's failure domain from which on only these are named. Fewer might all
/// be gone before the answer is asked for again.
const MIN_NEAR_DAEMONS: usize = 3;

/// Time for which callers may keep an answer: short, so that they leave a stopped VM soon.
pub const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// A daemon that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Picks the addresses for a caller in some failure domain.
pub fn choose(candidates: Vec<Candidate>, domain: &str, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let near = candidates.iter().filter(|c| c.domain == domain).count();
    let mut addresses: Vec<SocketAddr> = candidates
        .into_iter()
        .filter(|c| near < MIN_NEAR_DAEMONS || c.domain == domain)
        .map(|c| c.address)
        .collect();
    addresses.shuffle(rng);
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
