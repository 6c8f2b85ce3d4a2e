//! Cost of a map switch with two protocols: votes counted by a rank, and an outcome in the store.
//!
//! Both use the same lead time and see the same faults: lost messages, a coordinator that crashes
//! after its proposal, a store outage, a stalled agent.

mod commits;
mod conditions;
mod timeline;
mod votes;

use async_trait::async_trait;

use crate::prelude::{Experiment, Limit, Report, RunOptions};
use commits::StoreSwitch;
pub(super) use conditions::{Conditions, Costs};
pub(super) use votes::VotingGroup;

/// Ranks of the group.
const RANKS: usize = 16;
/// Switches per condition.
const SWITCHES: usize = 40;

/// Compares the cost of both protocols.
pub struct Switch;

#[async_trait]
impl Experiment for Switch {
    fn name(&self) -> &'static str {
        "switch"
    }

    fn about(&self) -> &'static str {
        "cost of an expert map switch: votes counted by a rank against an outcome at the store"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let mut report = Report::default();
        let mut mixed = 0;
        for (name, conditions) in all_conditions() {
            let votes = run_votes(&conditions, options.seed);
            let commits = run_commits(&conditions, options.seed);
            mixed += votes.mixed_steps;
            add_figures(&mut report, name, "votes", &votes);
            add_figures(&mut report, name, "store", &commits);
        }
        report
            .figure("mixed_steps", mixed as f64)
            .bound("mixed_steps", Limit::AtMost(0.0));
        Ok(report)
    }
}

fn all_conditions() -> [(&'static str, Conditions); 5] {
    let plain = Conditions::default();
    [
        ("plain", plain),
        (
            "loss",
            Conditions {
                loss: 0.05,
                ..plain
            },
        ),
        (
            "coordinator_dies",
            Conditions {
                coordinator_crashes: true,
                ..plain
            },
        ),
        (
            "store_down",
            Conditions {
                store_outage_ms: 30_000,
                ..plain
            },
        ),
        (
            "agent_stalled",
            Conditions {
                stalled_agent: Some((3, 5_000)),
                ..plain
            },
        ),
    ]
}

fn run_votes(conditions: &Conditions, seed: u64) -> Costs {
    let mut group = VotingGroup::new(RANKS, seed);
    for _ in 0..SWITCHES {
        group.switch(conditions);
        group.run_for(6_000);
    }
    group.costs
}

fn run_commits(conditions: &Conditions, seed: u64) -> Costs {
    let mut costs = Costs::default();
    for i in 0..SWITCHES as u64 {
        StoreSwitch::run(RANKS, seed.wrapping_mul(1_000) + i, conditions, &mut costs);
    }
    costs
}

fn add_figures(report: &mut Report, condition: &str, way: &str, c: &Costs) {
    let name = |figure: &str| format!("{condition}_{way}_{figure}");
    report
        .figure(&name("stalled_steps"), c.per_switch(c.stalled_steps))
        .figure(&name("messages"), c.per_switch(c.messages))
        .figure(&name("store_writes"), c.per_switch(c.store_writes))
        .figure(&name("store_reads"), c.per_switch(c.store_reads))
        .figure(&name("settle_ms"), c.per_switch(c.settle_ms))
        .figure(&name("committed"), c.per_switch(c.committed));
}
