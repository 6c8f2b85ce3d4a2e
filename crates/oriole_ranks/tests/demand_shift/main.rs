//! Detection of abrupt shifts in expert demand, which occur every few seconds as popular topics
//! change.
//!
//! Until the map follows, each pass takes three times as long. So a shift has to be detected soon,
//! and no choice from before the shift may count in the estimate.

mod patch;
mod sampler;

use std::time::Duration;

use oriole_ranks::choices::scale_choices;
use oriole_ranks::demand::{Demand, Sample};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const LAYER_SETS: usize = 4;
const EXPERTS: usize = 128;
const REPORTING_RANKS: u64 = 8;
const PASS_TIME: Duration = Duration::from_millis(70);
/// Choices in a layer set for the requests of one rank, in a pass without prompts.
const CHOICES: u64 = 2000;
/// Maximum distance of an estimate from the true demand. It is the noise of the choices that a plan
/// is based on; below it, a plan is as good as one that knows the true demand.
const MAX_DISTANCE: f64 = 0.1;

/// Expert shares that fall with popularity, assigned to experts at random. If `previous` is given,
/// a quarter of each share is taken from it.
fn random_demand(rng: &mut StdRng, previous: Option<&[f64]>) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..EXPERTS).map(|i| 1.0 / (i as f64 + 1.0)).collect();
    for i in (1..EXPERTS).rev() {
        shares.swap(i, rng.random_range(0..=i));
    }
    let sum: f64 = shares.iter().sum();
    let previous = previous.map_or_else(|| shares.clone(), <[f64]>::to_vec);
    let kept_sum: f64 = previous.iter().sum();
    let pairs = shares.iter().zip(&previous);
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
    let counts: Vec<u64> = (0..LAYER_SETS)
        .flat_map(|_| draw_choices(rng, shares, choices))
        .collect();
    scale_choices(&counts, LAYER_SETS)
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

    /// Adds a pass of all reporting ranks. Returns the number of detected shifts.
    fn pass(&mut self, shares: &[f64], choices: u64) -> usize {
        self.pass += 1;
        self.now += PASS_TIME;
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
            passes: 1,
        };
        self.demand.add(self.now, LAYER_SETS, &sample)
    }

    fn distance(&self, shares: &[f64]) -> f64 {
        let estimate = self.demand.choices_by_layer_set(LAYER_SETS).unwrap();
        estimate.iter().map(|e| distance(e, shares)).sum::<f64>() / LAYER_SETS as f64
    }
}

#[rstest]
fn add_shift_is_known_after_one_pass(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut harness = DemandHarness::new(seed);
    let before = random_demand(&mut harness.rng, None);
    let after = random_demand(&mut harness.rng, Some(&before));
    for _ in 0..40 {
        harness.pass(&before, CHOICES);
    }
    assert!(harness.pass(&after, CHOICES) >= 1);
    assert!(harness.demand.is_settled(harness.now, LAYER_SETS));
    assert!(
        harness.distance(&after) < MAX_DISTANCE,
        "{}",
        harness.distance(&after)
    );
}

#[rstest]
fn add_same_demand_is_no_shift(#[values(300, CHOICES, 20_000)] choices: u64) {
    let mut harness = DemandHarness::new(7);
    let shares = random_demand(&mut harness.rng, None);
    for _ in 0..4 {
        harness.pass(&shares, choices);
    }
    let shifts: usize = (0..30).map(|_| harness.pass(&shares, choices)).sum();
    assert_eq!(shifts, 0);
    assert!(harness.distance(&shares) < MAX_DISTANCE);
}

/// A rank that was read late reports choices from before and after the shift in one sample.
#[test]
fn add_sample_from_before_shift_is_left_out() {
    let mut harness = DemandHarness::new(3);
    let before = random_demand(&mut harness.rng, None);
    let after = random_demand(&mut harness.rng, Some(&before));
    for _ in 0..10 {
        harness.pass(&before, CHOICES);
    }
    harness.pass(&after, CHOICES);
    let expected_distance = harness.distance(&after);
    let late_choices = scaled_choices(&mut harness.rng, &before, CHOICES);
    for _ in 0..20 {
        let from = harness.pass - 3;
        assert!(!harness.add(&late_choices, CHOICES, from));
    }
    assert!((harness.distance(&after) - expected_distance).abs() < 1e-9);
}

/// While a prompt is processed, one request makes more choices in a pass than all others together.
#[test]
fn add_prompt_of_one_request_weighs_as_others() {
    let mut harness = DemandHarness::new(4);
    let shares = random_demand(&mut harness.rng, None);
    let request_demand = random_demand(&mut harness.rng, None);
    // The demand of one request differs from that of its group by less than a shift.
    let mixed: Vec<f64> = shares
        .iter()
        .zip(&request_demand)
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
    let before = random_demand(&mut harness.rng, None);
    for _ in 0..10 {
        harness.pass(&before, CHOICES);
    }
    let after = random_demand(&mut harness.rng, Some(&before));
    harness.pass(&after, CHOICES);
    // The group is re-formed and counts its passes from zero.
    harness.pass = 0;
    harness.demand.on_pass_counter_reset();
    let third = random_demand(&mut harness.rng, Some(&after));
    assert!(harness.pass(&third, CHOICES) >= 1);
    assert!(harness.distance(&third) < MAX_DISTANCE);
}
