//! Planning time on one core for groups of different sizes.
#![allow(missing_docs, reason = "criterion's macros make undocumented items")]

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use oriole_placement::prelude::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

fn shape(ranks: usize, experts: usize, layers: usize) -> GroupShape {
    GroupShape {
        ranks,
        experts,
        layers,
        slots_per_rank: experts / ranks + 1,
        expert_bytes: 40_000_000,
        weight_bytes_per_s: 2_000_000_000,
        domains: (0..ranks).map(|r| (r % 4) as u16).collect(),
    }
}

fn sample(rng: &mut ChaCha8Rng, shape: &GroupShape) -> LoadSample {
    let mut load = || Some((rng.random_range(-1.0f32..1.0) * 1.4).exp());
    let mut layer = || (0..shape.experts).map(|_| load()).collect();
    let layers = (0..shape.layers).map(|_| layer()).collect();
    LoadSample { layers }
}

/// A planner whose map fits an earlier demand than the one it observed, so that it has to search
/// every layer.
fn planner_after_jump(shape: &GroupShape) -> Planner {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut planner = Planner::new(PlannerConfig::default(), shape.clone()).expect("valid shape");
    planner.observe_loads(&sample(&mut rng, shape));
    let first = planner.plan().expect("a first map");
    planner.set_map(first.map);
    let next = sample(&mut rng, shape);
    for _ in 0..12 {
        planner.observe_loads(&next);
    }
    planner
}

fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan_after_jump");
    group.sample_size(10);
    let sizes = [
        (16, 64, 8),
        (16, 64, 32),
        (32, 128, 32),
        (32, 256, 32),
        (64, 256, 8),
        (64, 256, 32),
        (64, 256, 60),
    ];
    for (ranks, experts, layers) in sizes {
        let planner = planner_after_jump(&shape(ranks, experts, layers));
        let id = BenchmarkId::from_parameter(format!("{ranks}x{experts}x{layers}"));
        group.bench_function(id, |b| {
            b.iter_batched_ref(
                || planner.clone(),
                |planner| black_box(planner.plan()),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, plan);
criterion_main!(benches);
