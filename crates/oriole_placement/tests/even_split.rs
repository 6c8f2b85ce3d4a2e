//! Placement for engines that split an expert's tokens evenly over its replicas.

use oriole_placement::even_split::{EvenSplitConfig, Gain, RankExperts, plan, skew};
use proptest::prelude::*;

/// Initial map of an engine: experts are dealt to the ranks in turn.
fn initial_map(sets: usize, ranks: usize, experts: usize) -> Vec<RankExperts> {
    let set: RankExperts = (0..ranks)
        .map(|r| (r..experts).step_by(ranks).map(|e| e as u16).collect())
        .collect();
    vec![set; sets]
}

fn config(slots_per_rank: usize, max_new_experts: usize, copies: usize) -> EvenSplitConfig {
    EvenSplitConfig {
        slots_per_rank,
        max_new_experts,
        copies_per_rank: copies,
        ..EvenSplitConfig::default()
    }
}

/// Objective for copies that cost nothing.
fn total_gain(gain: &Gain) -> f64 {
    gain.skew_before - gain.skew_after
}

fn new_experts(before: &[u16], after: &[u16]) -> usize {
    after.iter().filter(|e| !before.contains(e)).count()
}

#[test]
fn plan_one_hot_expert_is_shared_by_more_ranks() {
    let map = initial_map(1, 8, 64);
    let mut shares = vec![1.0; 64];
    shares[5] = 60.0;
    let plan = plan(&map, &[shares], &[1.0; 8], &config(11, 4, 8), total_gain);
    let holders = plan.map[0].iter().filter(|r| r.contains(&5)).count();
    assert!(holders >= 4, "held by {holders} ranks");
    assert!(plan.skew_before > 3.0, "{plan:?}");
    assert!(
        plan.skew_after < 1.3,
        "{} to {}",
        plan.skew_before,
        plan.skew_after
    );
}

#[test]
fn plan_even_demand_copies_nothing() {
    let map = initial_map(6, 8, 64);
    let plan = plan(
        &map,
        &vec![vec![1.0; 64]; 6],
        &[1.0; 8],
        &config(11, 4, 8),
        total_gain,
    );
    assert_eq!(plan.copies, 0);
    assert_eq!(plan.map, map);
}

#[test]
fn plan_slow_rank_gets_less() {
    let map = initial_map(1, 8, 64);
    let mut slowdown = [1.0; 8];
    slowdown[3] = 3.0;
    let shares = vec![vec![1.0; 64]];
    let plan = plan(&map, &shares, &slowdown, &config(11, 4, 8), total_gain);
    assert!(plan.skew_after < plan.skew_before * 0.7, "{plan:?}");
}

/// Demand may shift again while experts are copied, so costly copies are made only for hot experts.
#[test]
fn plan_costly_copies_are_few() {
    let map = initial_map(2, 8, 64);
    let mild: Vec<f64> = (0..64).map(|e| 10.0 + f64::from(e * 7 % 13)).collect();
    let mut hot = vec![1.0; 64];
    hot[9] = 80.0;
    let demand = vec![hot, mild];
    let limits = config(11, 4, 12);
    let free = plan(&map, &demand, &[1.0; 8], &limits, total_gain);
    let costly = plan(&map, &demand, &[1.0; 8], &limits, |gain| {
        gain.skew_before - gain.skew_after - 0.2 * gain.busiest_rank_copies as f64
    });
    assert!(
        costly.copies < free.copies,
        "{} and {}",
        costly.copies,
        free.copies
    );
    assert!(costly.skew_after < costly.skew_before);
}

#[test]
fn skew_even_map_is_one() {
    let map = initial_map(2, 4, 8);
    let skew = skew(&map, &vec![vec![2.0; 8]; 2], &[1.0; 4]);
    assert!((skew - 1.0).abs() < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn plan_keeps_limits(
        ranks in 2..9usize,
        per_rank in 1..6usize,
        free in 0..4usize,
        max_new_experts in 0..5usize,
        copies in 0..9usize,
        seed in prop::collection::vec(0.0..40.0f64, 96),
    ) {
        let experts = ranks * per_rank;
        let sets = 2;
        let map = initial_map(sets, ranks, experts);
        let demand: Vec<Vec<f64>> = (0..sets)
            .map(|s| (0..experts).map(|e| seed[(s * 37 + e) % seed.len()] + 1.0).collect())
            .collect();
        let limits = config(per_rank + free, max_new_experts, copies);
        let plan = plan(&map, &demand, &vec![1.0; ranks], &limits, total_gain);
        for (before, after) in map.iter().zip(&plan.map) {
            for expert in 0..experts as u16 {
                prop_assert!(after.iter().any(|r| r.contains(&expert)), "{} is lost", expert);
            }
            for (before, after) in before.iter().zip(after) {
                prop_assert!(after.len() <= per_rank + free);
                prop_assert!(new_experts(before, after) <= max_new_experts);
                let mut sorted = after.clone();
                sorted.sort_unstable();
                sorted.dedup();
                prop_assert_eq!(sorted.len(), after.len());
            }
        }
        let mut copied = vec![0; ranks];
        for (before, after) in map.iter().zip(&plan.map) {
            for (rank, copied) in copied.iter_mut().enumerate() {
                *copied += new_experts(&before[rank], &after[rank]);
            }
        }
        prop_assert!(copied.iter().all(|c| *c <= copies), "{:?}", copied);
        prop_assert!(plan.skew_after <= plan.skew_before + 1e-6, "{} to {}", plan.skew_before, plan.skew_after);
    }
}

/// After a shift of demand, a plan may make only a few copies per rank. Together they have to
/// halve the mean excess of the skew over 1.
#[test]
fn plan_shifted_demand_few_copies_relieve_all_sets() {
    let (sets, ranks, experts) = (12, 32, 128);
    let map = initial_map(sets, ranks, experts);
    let demand: Vec<Vec<f64>> = (0..sets)
        .map(|set| {
            let popularity = |e: usize| 1.0 / (((e * 37 + set * 53) % experts) as f64 + 1.0);
            (0..experts).map(popularity).collect()
        })
        .collect();
    let limits = config(5, 2, 2);
    let plan = plan(&map, &demand, &[1.0; 32], &limits, total_gain);
    assert!(plan.busiest_rank_copies <= 2, "{plan:?}");
    let excess = (plan.skew_after - 1.0) / (plan.skew_before - 1.0);
    assert!(excess < 0.5, "{} to {}", plan.skew_before, plan.skew_after);
}
