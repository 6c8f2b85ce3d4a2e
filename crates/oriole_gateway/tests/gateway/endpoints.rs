//! Selection of the addresses that callers should connect to.

use oriole_gateway::endpoints::{Candidate, MAX_ADDRESSES, choose};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

fn candidates(domain: &str, count: u16) -> Vec<Candidate> {
    (0..count)
        .map(|i| Candidate {
            address: format!("10.{}.{}.{}:80", domain.len(), i / 200, i % 200)
                .parse()
                .unwrap(),
            domain: domain.to_owned(),
        })
        .collect()
}

#[test]
fn choose_enough_near_lists_only_near() {
    let mut all = candidates("north", 3);
    all.extend(candidates("southern", 9));
    let chosen = choose(all, "north", &mut StdRng::seed_from_u64(1));
    assert_eq!(chosen.len(), 3);
}

#[test]
fn choose_few_near_lists_all() {
    let mut all = candidates("north", 2);
    all.extend(candidates("southern", 9));
    let chosen = choose(all, "north", &mut StdRng::seed_from_u64(1));
    assert_eq!(chosen.len(), 11);
}

#[test]
fn choose_many_is_limited() {
    let chosen = choose(
        candidates("north", 340),
        "north",
        &mut StdRng::seed_from_u64(1),
    );
    assert_eq!(chosen.len(), MAX_ADDRESSES);
}
