//! Samples of many passes, and passes with the prompt of one request among them.

use std::time::Duration;

use oriole_fleet::prelude::ExpertCounts;
use oriole_ranks::sampler::ChoiceSampler;

const LAYER_SETS: usize = 2;
const EXPERTS: usize = 64;

/// Choices of each expert in a pass without prompts, and in one with a prompt.
const CALM: u64 = 10;
const PROMPT: u64 = 900;

/// Further choices of the one expert that the prompt prefers: a tenth of all in its pass.
const PREFERRED: u64 = 6400;

/// Share of the first expert in a sample of 20 passes, with or without a prompt in one of them.
fn share_of_first(has_prompt: bool) -> f64 {
    let mut sampler = ChoiceSampler::default();
    let mut counts = ExpertCounts {
        counts: vec![0; LAYER_SETS * EXPERTS],
        ..ExpertCounts::default()
    };
    for pass in 0..=20 {
        counts.pass = pass;
        sampler.add(Duration::from_millis(pass * 70), counts.clone(), LAYER_SETS);
        let is_prompt = has_prompt && pass == 10;
        for (index, count) in counts.counts.iter_mut().enumerate() {
            *count += if is_prompt { PROMPT } else { CALM };
            if is_prompt && index % EXPERTS == 0 {
                *count += PREFERRED;
            }
        }
    }
    let sample = sampler.take(Duration::from_secs(2)).unwrap();
    let first: u32 = sample.scaled.iter().step_by(EXPERTS).sum();
    f64::from(first) / f64::from(sample.scaled.iter().sum::<u32>())
}

/// A pass in which a prompt is processed makes more choices than all others together, but counts only
/// as one pass. Planned from samples that it dominates, maps of groups of 12 ranks changed too often.
#[test]
fn take_prompt_among_many_passes_counts_as_one() {
    assert!((share_of_first(false) - 1.0 / EXPERTS as f64).abs() < 0.01);
    // A pass weighs as 32 choices an expert at most, and each of the others has ten.
    let share = share_of_first(true);
    assert!(share < 0.05, "{share}");
}
