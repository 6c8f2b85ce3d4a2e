//! Crashes that a poisonous request causes in a fleet when it is sent to many entries.
//!
//! Time is simulated, admission is the real code: each agent is a gate and each entry a poison
//! ledger, and digests reach each process after a random delay. Callers send each poison to all
//! entries at once and repeat it, while innocent work shares the upstreams, two upstreams leave,
//! and views of the pool lag.

mod fleet;

use async_trait::async_trait;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use self::fleet::{Fleet, Policy, Scenario, Tally};
use crate::prelude::*;

/// Crashes allowed per poison in the whole fleet.
const MAX_CRASHES_PER_POISON: f64 = 3.0;
/// Longest time until a quarantine is in force everywhere, in seconds.
const MAX_SPREAD_S: f64 = 5.0;

/// Compares the full policy against poison with parts of it switched off.
pub struct Poison;

#[async_trait]
impl Experiment for Poison {
    fn name(&self) -> &'static str {
        "poison"
    }

    fn about(&self) -> &'static str {
        "upstream crashes per poisonous request, innocents condemned, spread of the quarantine"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let seed = options.seed;
        let today = [Policy::Full, Policy::NoHomes, Policy::NoQuarantine];
        let mut runs: Vec<_> = today.map(|p| (Scenario::TODAY, p, "today")).to_vec();
        runs.push((Scenario::LATER, Policy::Full, "later"));
        runs.push((Scenario::CALM, Policy::Full, "calm"));
        runs.push((Scenario::CALM, Policy::NoHomes, "calm"));
        let tasks: Vec<_> = runs
            .into_iter()
            .map(|(scenario, policy, label)| {
                let rng = ChaCha12Rng::seed_from_u64(seed);
                let run = move || (policy, label, Fleet::new(scenario, policy, rng).run());
                tokio::task::spawn_blocking(run)
            })
            .collect();
        let mut report = Report::default();
        for task in tasks {
            let (policy, label, tally) = task.await?;
            add_figures(&mut report, policy, label, &tally);
        }
        Ok(report)
    }
}

fn add_figures(report: &mut Report, policy: Policy, label: &str, tally: &Tally) {
    if label == "calm" {
        // The latency cost of homes while there is no poison.
        report.figure(&format!("calm_p99_ms_{}", policy.as_str()), tally.p99_ms());
        return;
    }
    let full = policy == Policy::Full;
    let name = |figure: &str| match (full, label) {
        (true, "today") => figure.to_owned(),
        (true, _) => format!("{figure}_{label}"),
        (false, _) => format!("{figure}_{label}_{}", policy.as_str()),
    };
    let crashes = name("crashes_per_poison");
    let condemned = name("innocent_condemned");
    let spread = name("quarantine_spread_s");
    report.figure(&crashes, f64::from(tally.worst_crashes()));
    report.figure(&condemned, tally.innocents_quarantined as f64);
    report.figure(&name("innocent_completed_share"), tally.completed_share());
    report.figure(&name("innocent_p99_ms"), tally.p99_ms());
    report.curve(&name("crashes"), tally.crash_curve());
    if policy != Policy::NoQuarantine {
        report.figure(&spread, tally.worst_spread_s());
    }
    if full {
        report.bound(&crashes, Limit::AtMost(MAX_CRASHES_PER_POISON));
        report.bound(&condemned, Limit::AtMost(0.0));
        report.bound(&spread, Limit::AtMost(MAX_SPREAD_S));
    }
}
