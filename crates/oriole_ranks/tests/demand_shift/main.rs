//! Demand for experts that changes at once, every few seconds, as popular topics come and go.
//!
//! Until the map follows, each pass takes three times as long: what counts is how soon a change is
//! seen, and that plans rest on nothing that was counted before it.

mod patch;

use std::time::Duration;

use oriole_ranks::demand::{Demand, Sample};
use oriole_ranks::message::scale_choices;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const SETS: usize = 4;
const EXPERTS: usize = 128;
const REPORTING_RANKS: u64 = 8;
const PASS: Duration = Duration::from_millis(70);
/// Choices in a layer set that one rank's requests make in a pass without prompts.
const CHOICES: u64 = 2000;
/// Distance of an estimate from which a plan is as good as one that knows the demand: the noise of
/// the choices that a plan is made from.
const MAX_DISTANCE: f64 = 0.1;

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

fn draw_choices(rng: &mut StdRng, shares: &[f64], choices: u64) -> Vec<u64> {
    let mut counts = vec![0; shares.len()];
    let mut cumulative = Vec::with_capacity(shares.len());
    let mut sum = 0.0;
    for share in shares {
        sum += share;
        cumulative.push(sum);
    }
    for _ in 0..choices {
        let target = rng.random::<f64>() * sum;
        let expert = cumulative.partition_point(|s| *s <= target);
        counts[expert.min(shares.len() - 1)] += 1;
    }
    counts
}

fn scaled_choices(rng: &mut StdRng, shares: &[f64], choices: u64) -> Vec<u32> {
    let counts: Vec<u64> = (0..SETS)
        .flat_map(|_| draw_choices(rng, shares, choices))
        .collect();
    scale_choices(&counts, SETS)
}

fn distance(estimate: &[f64], shares: &[f64]) -> f64 {
    let sum: f64 = estimate.iter().sum();
    let differences = estimate
        .iter()
        .zip(shares)
        .map(|(e, s)| (e / sum - s).abs());
    differences.sum::<f64>() / 2.0
}

struct DemandHarness {
    rng: StdRng,
    demand: Demand,
    pass: u64,
    now: Duration,
}

impl DemandHarness {
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
        let mut shifts = 0;
        for _ in 0..REPORTING_RANKS {
            let scaled_choices = scaled_choices(&mut self.rng, shares, choices);
            shifts += usize::from(self.add(&scaled_choices, choices, self.pass - 1));
        }
        shifts
    }

    fn add(&mut self, scaled_choices: &[u32], total: u64, from_pass: u64) -> bool {
        let sample = Sample {
            scaled_choices,
            total,
            from_pass,
        };
        self.demand.add(self.now, SETS, &sample)
    }

    fn distance(&self, shares: &[f64]) -> f64 {
        let estimate = self.demand.choices_by_layer_set(SETS).unwrap();
        estimate.iter().map(|e| distance(e, shares)).sum::<f64>() / SETS as f64
    }
}

#[rstest]
fn add_shift_is_known_after_one_pass(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut harness = DemandHarness::new(seed);
    let before = demand(&mut harness.rng, None);
    let after = demand(&mut harness.rng, Some(&before));
    for _ in 0..40 {
        harness.pass(&before, CHOICES);
    }
    assert!(harness.pass(&after, CHOICES) >= 1);
    assert!(harness.demand.is_settled(harness.now, SETS));
    assert!(
        harness.distance(&after) < MAX_DISTANCE,
        "{}",
        harness.distance(&after)
    );
}

#[rstest]
fn add_same_demand_is_no_shift(#[values(300, CHOICES, 20_000)] choices: u64) {
    let mut harness = DemandHarness::new(7);
    let shares = demand(&mut harness.rng, None);
    for _ in 0..4 {
        harness.pass(&shares, choices);
    }
    let shifts: usize = (0..30).map(|_| harness.pass(&shares, choices)).sum();
    assert_eq!(shifts, 0);
    assert!(harness.distance(&shares) < MAX_DISTANCE);
}

/// A rank that was read late tells of passes before and after the change in one sample.
#[test]
fn add_sample_from_before_shift_is_left_out() {
    let mut harness = DemandHarness::new(3);
    let before = demand(&mut harness.rng, None);
    let after = demand(&mut harness.rng, Some(&before));
    for _ in 0..10 {
        harness.pass(&before, CHOICES);
    }
    harness.pass(&after, CHOICES);
    let known = harness.distance(&after);
    let late = scaled_choices(&mut harness.rng, &before, CHOICES);
    for _ in 0..20 {
        let from = harness.pass - 3;
        assert!(!harness.add(&late, CHOICES, from));
    }
    assert!((harness.distance(&after) - known).abs() < 1e-9);
}

/// While a prompt is read, one request makes more choices in a pass than all others together.
#[test]
fn add_prompt_of_one_request_weighs_as_others() {
    let mut harness = DemandHarness::new(4);
    let shares = demand(&mut harness.rng, None);
    let own = demand(&mut harness.rng, None);
    // The content of one request differs from that of its group by less than a shift.
    let mixed: Vec<f64> = shares
        .iter()
        .zip(&own)
        .map(|(s, o)| 0.9 * s + 0.1 * o)
        .collect();
    for _ in 0..20 {
        harness.pass(&shares, CHOICES);
        let prompt = scaled_choices(&mut harness.rng, &mixed, 20_000);
        assert!(!harness.add(&prompt, 200_000, harness.pass - 1));
    }
    assert!(harness.distance(&shares) < MAX_DISTANCE);
}

#[test]
fn add_passes_counted_anew_goes_on() {
    let mut harness = DemandHarness::new(5);
    let before = demand(&mut harness.rng, None);
    for _ in 0..10 {
        harness.pass(&before, CHOICES);
    }
    let after = demand(&mut harness.rng, Some(&before));
    harness.pass(&after, CHOICES);
    // The group forms again and counts its passes from zero.
    harness.pass = 0;
    harness.demand.on_pass_counter_reset();
    let third = demand(&mut harness.rng, Some(&after));
    assert!(harness.pass(&third, CHOICES) >= 1);
    assert!(harness.distance(&third) < MAX_DISTANCE);
}
