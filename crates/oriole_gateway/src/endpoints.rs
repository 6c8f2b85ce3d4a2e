//! Selects the addresses that callers should connect to.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom as _;

/// Most addresses in one response; callers read no more.
pub const MAX_ADDRESSES: usize = 64;

/// Number of ready daemons in the caller's failure domain from which on only these are listed.
/// Fewer might all be gone before the caller asks again.
const MIN_NEAR_DAEMONS: usize = 3;

/// Time for which callers may cache a response. It is short so that they stop using a stopped VM
/// soon.
pub const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// An entry daemon that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Failure domain of the daemon's VM.
    pub domain: String,
}

/// Selects the addresses for a caller in the failure domain `domain`, in random order.
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
