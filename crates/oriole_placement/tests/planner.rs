//! Tests of the planner with known loads, noise, stragglers and stalls.

use oriole_placement::balance::LayerDraft;
use oriole_placement::greedy;
use oriole_placement::prelude::*;
use oriole_placement::speeds::SpeedConfig;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn shape(ranks: usize, experts: usize, layers: usize, slots_per_rank: usize) -> GroupShape {
    GroupShape {
        ranks,
        experts,
        layers,
        slots_per_rank,
        expert_bytes: 1_000_000,
        weight_bytes_per_s: 100_000_000,
        domains: (0..ranks).map(|r| (r % 3) as u16).collect(),
    }
}

/// Loads that decrease with the expert's index.
fn skewed_loads(experts: usize) -> Vec<f32> {
    (0..experts)
        .map(|e| 100.0 / (1.0 + e as f32 * 0.2))
        .collect()
}

fn sample(layers: usize, loads: &[f32], noise: f32, rng: &mut ChaCha8Rng) -> LoadSample {
    let mut noisy = |x: &f32| Some(x * (1.0 + noise * rng.random_range(-1.0..1.0)));
    let mut layer = || loads.iter().map(&mut noisy).collect();
    LoadSample {
        layers: (0..layers).map(|_| layer()).collect(),
    }
}

/// A planner whose first map, planned for the given loads, is in force.
fn planner_with_map(shape: &GroupShape, loads: &[f32]) -> Planner {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut planner = Planner::new(PlannerConfig::default(), shape.clone()).unwrap();
    for _ in 0..40 {
        planner.observe_loads(&sample(shape.layers, loads, 0.0, &mut rng));
    }
    let first = planner.plan().unwrap();
    planner.set_map(first.map);
    planner
}

fn relative_peak(map: &ExpertMap, loads: &[f32], speeds: &[f32]) -> f32 {
    let ranks = map.layers[0].rank_loads(loads, map.slots_per_rank);
    let slowest = ranks
        .iter()
        .zip(speeds)
        .map(|(l, s)| l / s)
        .fold(0.0, f32::max);
    slowest / (loads.iter().sum::<f32>() / speeds.iter().sum::<f32>())
}

#[rstest]
#[case::today(16, 64, 6)]
#[case::large(64, 256, 6)]
fn plan_first_map_is_near_perfect(
    #[case] ranks: usize,
    #[case] experts: usize,
    #[case] slots: usize,
) {
    let shape = shape(ranks, experts, 1, slots);
    let loads = skewed_loads(experts);
    let planner = planner_with_map(&shape, &loads);
    let map = planner.map().unwrap();
    assert!(map.is_valid(&shape));
    assert!(relative_peak(map, &loads, &vec![1.0; ranks]) < 1.02);
}

#[test]
fn plan_noise_moves_nothing() {
    let shape = shape(16, 64, 2, 6);
    let loads = skewed_loads(64);
    let mut planner = planner_with_map(&shape, &loads);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for _ in 0..300 {
        planner.observe_loads(&sample(2, &loads, 0.1, &mut rng));
        if let Some(plan) = planner.plan() {
            assert!(plan.moves.is_empty(), "noise moved {:?}", plan.moves);
            planner.set_map(plan.map);
        }
    }
}

#[test]
fn plan_follows_jump() {
    let shape = shape(16, 64, 1, 6);
    let mut loads = skewed_loads(64);
    let mut planner = planner_with_map(&shape, &loads);
    loads.reverse();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..20 {
        planner.observe_loads(&sample(1, &loads, 0.05, &mut rng));
        if let Some(plan) = planner.plan() {
            assert!(plan.map.is_valid(&shape));
            assert_eq!(planner.map().unwrap().moves_to(&plan.map), plan.moves);
            planner.set_map(plan.map);
        }
    }
    assert!(relative_peak(planner.map().unwrap(), &loads, &[1.0; 16]) < 1.1);
}

#[test]
fn plan_keeps_byte_budget() {
    let shape = shape(16, 64, 4, 6);
    let mut loads = skewed_loads(64);
    let cfg = PlannerConfig {
        max_bytes: 3 * shape.expert_bytes,
        ..PlannerConfig::default()
    };
    let mut planner = Planner::new(cfg, shape.clone()).unwrap();
    planner.set_map(planner_with_map(&shape, &loads).map().unwrap().clone());
    loads.reverse();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    for _ in 0..20 {
        planner.observe_loads(&sample(4, &loads, 0.0, &mut rng));
    }
    let plan = planner.plan().unwrap();
    assert!(!plan.moves.is_empty());
    assert!(plan.bytes(&shape) <= 3 * shape.expert_bytes);
}

#[rstest]
#[case::stall(2, false)]
#[case::straggler(12, true)]
fn speeds_tell_straggler_from_stall(#[case] slow_samples: usize, #[case] is_straggler: bool) {
    let mut speeds = SpeedEstimator::new(SpeedConfig::default(), 4);
    for i in 0..40 {
        for rank in 0..4 {
            let slow = rank == 2 && i >= 40 - slow_samples;
            speeds.observe(rank, if slow { 0.3 } else { 1.0 });
        }
    }
    assert_eq!(speeds.stragglers(0.9) == vec![2], is_straggler);
}

#[test]
fn plan_gives_straggler_less() {
    let shape = shape(16, 64, 1, 6);
    let loads = skewed_loads(64);
    let mut planner = planner_with_map(&shape, &loads);
    for _ in 0..12 {
        (0..16).for_each(|r| planner.observe_speed(r, if r == 4 { 0.5 } else { 1.0 }));
    }
    let plan = planner.plan().unwrap();
    assert_eq!(plan.reason, PlanReason::Speed);
    let mut speeds = [1.0; 16];
    speeds[4] = 0.5;
    assert!(relative_peak(&plan.map, &loads, &speeds) < 1.05);
}

#[test]
fn shape_refuses_too_few_slots() {
    let result = Planner::new(PlannerConfig::default(), shape(4, 64, 1, 2));
    assert!(result.is_err());
}

#[test]
fn digest_tells_shares_apart() {
    let shape = shape(4, 8, 1, 3);
    let planner = planner_with_map(&shape, &skewed_loads(8));
    let map = planner.map().unwrap().clone();
    let mut other = map.clone();
    other.layers[0].shares.swap(0, 1);
    assert_eq!(
        map.layers[0].shares[0] == map.layers[0].shares[1],
        map.id() == other.id()
    );
}

/// For any sizes, loads and speeds, maps are valid and balancing never makes the slowest rank
/// slower.
#[test]
fn balance_any_loads() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let strategy = (2usize..9, 1usize..4, 0usize..3).prop_flat_map(|(ranks, per_rank, spare)| {
        let experts = ranks * per_rank;
        let slots = (per_rank + spare).min(experts);
        (
            Just((ranks, experts, slots)),
            prop::collection::vec(0.0f32..100.0, experts),
            prop::collection::vec(0.1f32..2.0, ranks),
        )
    });
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |((ranks, experts, slots), mut loads, speeds)| {
            loads[0] += 1.0;
            let shape = shape(ranks, experts, 1, slots);
            let placed = greedy::place_layer(&shape, &loads, &speeds);
            prop_assert!(placed.is_valid(&shape), "{placed:?}");
            let mut draft = LayerDraft::new(&placed, &loads, &speeds, slots);
            let before = draft.peak();
            draft.balance();
            prop_assert!(draft.peak() <= before * 1.001);
            prop_assert!(draft.to_layer().is_valid(&shape));
            Ok(())
        })
        .unwrap();
}
