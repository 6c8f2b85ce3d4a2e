//! Demand for experts that changes at once, every few seconds, as popular topics come and go.
//!
//! Until the map follows, each pass takes three times as long: what counts is how soon a change is
//! seen, and that plans rest on nothing that was counted before it.

mod patch;

use std::time::Duration;

use oriole_ranks::demand::{Demand, Sample};
use oriole_ranks::message::pick_parts;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const SETS: usize = 4;
const EXPERTS: usize = 128;
const TELLING: u64 = 8;
const PASS: Duration = Duration::from_millis(70);
/// Choices in a layer set that one rank's requests make in a pass without prompts.
const CHOICES: u64 = 2000;
/// Distance of an estimate from which a plan is as good as one that knows the demand: the noise of
/// the choices that a plan is made from.
const CLOSE: f64 = 0.1;

/// Shares that fall with the rank in popularity, dealt to experts at random; a quarter of them stay
/// with the experts that had them if `kept` is given.
fn demand(rng: &mut StdRng, kept: Option<&[f64]>) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..EXPERTS).map(|i| 1.0 / (i as f64 + 1.0)).collect();
    for i in (1..EXPERTS).rev() {
        shares.swap(i, rng.random_range(0..=i));
    }
    let sum: f64 = shares.iter().sum();
    let kept = kept.map_or_else(|| shares.clone(), <[f64]>::to_vec);
    let kept_sum: f64 = kept.iter().sum();
    let pairs = shares.iter().zip(&kept);
    pairs
        .map(|(new, old)| 0.75 * new / sum + 0.25 * old / kept_sum)
        .collect()
}

fn choose(rng: &mut StdRng, shares: &[f64], choices: u64) -> Vec<u64> {
    let mut counts = vec![0; shares.len()];
    let mut up_to = Vec::with_capacity(shares.len());
    let mut sum = 0.0;
    for share in shares {
        sum += share;
        up_to.push(sum);
    }
    for _ in 0..choices {
        let at = rng.random::<f64>() * sum;
        let expert = up_to.partition_point(|s| *s <= at);
        counts[expert.min(shares.len() - 1)] += 1;
    }
    counts
}

fn parts(rng: &mut StdRng, shares: &[f64], choices: u64) -> Vec<u32> {
    let counts: Vec<u64> = (0..SETS)
        .flat_map(|_| choose(rng, shares, choices))
        .collect();
    pick_parts(&counts, SETS)
}

fn distance(estimate: &[f64], shares: &[f64]) -> f64 {
    let sum: f64 = estimate.iter().sum();
    let apart = estimate
        .iter()
        .zip(shares)
        .map(|(e, s)| (e / sum - s).abs());
    apart.sum::<f64>() / 2.0
}

struct Watch {
    rng: StdRng,
    demand: Demand,
    pass: u64,
    now: Duration,
}

impl Watch {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            demand: Demand::default(),
            pass: 0,
            now: Duration::ZERO,
        }
    }

    /// One pass of all telling ranks; how often a change was seen.
    fn pass(&mut self, shares: &[f64], choices: u64) -> usize {
        self.pass += 1;
        self.now += PASS;
        let mut seen = 0;
        for _ in 0..TELLING {
            let parts = parts(&mut self.rng, shares, choices);
            seen += usize::from(self.add(&parts, choices, self.pass - 1));
        }
        seen
    }

    fn add(&mut self, parts: &[u32], total: u64, from: u64) -> bool {
        let sample = Sample { parts, total, from };
        self.demand.add(self.now, SETS, &sample)
    }

    fn distance(&self, shares: &[f64]) -> f64 {
        let estimate = self.demand.by_set(SETS).unwrap();
        estimate.iter().map(|e| distance(e, shares)).sum::<f64>() / SETS as f64
    }
}

#[rstest]
fn add_shift_is_known_after_one_pass(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut watch = Watch::new(seed);
    let before = demand(&mut watch.rng, None);
    let after = demand(&mut watch.rng, Some(&before));
    for _ in 0..40 {
        watch.pass(&before, CHOICES);
    }
    assert!(watch.pass(&after, CHOICES) >= 1);
    assert!(watch.demand.is_settled(watch.now, SETS));
    assert!(watch.distance(&after) < CLOSE, "{}", watch.distance(&after));
}

#[rstest]
fn add_same_demand_is_no_shift(#[values(300, CHOICES, 20_000)] choices: u64) {
    let mut watch = Watch::new(7);
    let shares = demand(&mut watch.rng, None);
    for _ in 0..4 {
        watch.pass(&shares, choices);
    }
    let seen: usize = (0..30).map(|_| watch.pass(&shares, choices)).sum();
    assert_eq!(seen, 0);
    assert!(watch.distance(&shares) < CLOSE);
}

/// A rank that was read late tells of passes before and after the change in one sample.
#[test]
fn add_sample_from_before_shift_is_left_out() {
    let mut watch = Watch::new(3);
    let before = demand(&mut watch.rng, None);
    let after = demand(&mut watch.rng, Some(&before));
    for _ in 0..10 {
        watch.pass(&before, CHOICES);
    }
    watch.pass(&after, CHOICES);
    let known = watch.distance(&after);
    let late = parts(&mut watch.rng, &before, CHOICES);
    for _ in 0..20 {
        let from = watch.pass - 3;
        assert!(!watch.add(&late, CHOICES, from));
    }
    assert!((watch.distance(&after) - known).abs() < 1e-9);
}

/// While a prompt is read, one request makes more choices in a pass than all others together.
#[test]
fn add_prompt_of_one_request_weighs_as_others() {
    let mut watch = Watch::new(4);
    let shares = demand(&mut watch.rng, None);
    let own = demand(&mut watch.rng, None);
    // The content of one request differs from that of its group by less than a shift.
    let mixed: Vec<f64> = shares
        .iter()
        .zip(&own)
        .map(|(s, o)| 0.9 * s + 0.1 * o)
        .collect();
    for _ in 0..20 {
        watch.pass(&shares, CHOICES);
        let prompt = parts(&mut watch.rng, &mixed, 20_000);
        assert!(!watch.add(&prompt, 200_000, watch.pass - 1));
    }
    assert!(watch.distance(&shares) < CLOSE);
}

#[test]
fn add_passes_counted_anew_goes_on() {
    let mut watch = Watch::new(5);
    let before = demand(&mut watch.rng, None);
    for _ in 0..10 {
        watch.pass(&before, CHOICES);
    }
    let after = demand(&mut watch.rng, Some(&before));
    watch.pass(&after, CHOICES);
    // The group forms again and counts its passes from zero.
    watch.pass = 0;
    watch.demand.restart_passes();
    let third = demand(&mut watch.rng, Some(&after));
    assert!(watch.pass(&third, CHOICES) >= 1);
    assert!(watch.distance(&third) < CLOSE);
}
