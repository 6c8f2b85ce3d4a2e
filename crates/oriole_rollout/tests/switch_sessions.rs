//! Snapshot tests: event logs of complete switches.

mod test_cluster;

use oriole_rollout::prelude::*;
use test_cluster::TestCluster;

/// A cluster that uses its first map and logs events from now on.
fn cluster_with_first_map() -> TestCluster {
    let mut cluster = TestCluster::new(3, false, None);
    cluster.start_coordinator();
    run_until(&mut cluster, |c| {
        c.group_step() > 0 && c.active()[0].is_some()
    });
    cluster.log = Some(Vec::new());
    cluster
}

/// Runs fault-free rounds until a condition holds; panics if the group is stuck.
fn run_until(cluster: &mut TestCluster, done: impl Fn(&TestCluster) -> bool) {
    for _ in 0..300 {
        if done(cluster) {
            return;
        }
        cluster.fault_free_round();
    }
    panic!("the group is stuck at step {}", cluster.group_step());
}

fn all_use_version(cluster: &TestCluster, version: u64) -> bool {
    let uses =
        |m: &Option<oriole_placement::map::MapId>| m.is_some_and(|id| id.version.0 >= version);
    cluster.active().iter().all(uses)
}

fn version(cluster: &TestCluster) -> u64 {
    cluster.active()[0].map_or(0, |id| id.version.0)
}

fn log(cluster: &TestCluster) -> String {
    cluster.log.as_deref().unwrap_or_default().join("\n")
}

#[test]
fn session_plain_switch() {
    let mut cluster = cluster_with_first_map();
    let next = version(&cluster) + 1;
    run_until(&mut cluster, |c| all_use_version(c, next));
    insta::assert_snapshot!(log(&cluster));
}

#[test]
fn session_coordinator_dies_after_prepare() {
    let mut cluster = cluster_with_first_map();
    let next = version(&cluster) + 1;
    run_until(&mut cluster, |c| {
        c.engines[0].state().loading.is_some() || { c.engines[0].state().staged.len() > 1 }
    });
    cluster.stop_coordinator(0);
    for _ in 0..10 {
        cluster.fault_free_round();
    }
    cluster.start_coordinator();
    run_until(&mut cluster, |c| all_use_version(c, next));
    insta::assert_snapshot!(log(&cluster));
}

#[test]
fn session_rank_restarts() {
    let mut cluster = cluster_with_first_map();
    let next = version(&cluster) + 1;
    run_until(&mut cluster, |c| all_use_version(c, next));
    cluster.restart_engine(1);
    cluster.restart_agent(1);
    let step = cluster.group_step();
    run_until(&mut cluster, |c| c.group_step() > step + 3);
    insta::assert_snapshot!(log(&cluster));
}

#[test]
fn session_commit_answer_lost() {
    let mut cluster = cluster_with_first_map();
    let next = version(&cluster) + 1;
    let commit = |(to, e): &(Party, Envelope)| {
        let commits = matches!(e.message, GroupMessage::Outcome { commit: true, .. });
        commits && matches!(to, Party::Rank(_))
    };
    let mut lost = 0;
    for _ in 0..2_000 {
        if let Some(i) = cluster.network.iter().position(commit).filter(|_| lost < 2) {
            cluster.lose(i);
            lost += 1;
            continue;
        }
        if all_use_version(&cluster, next) {
            break;
        }
        cluster.hop();
    }
    assert_eq!(lost, 2, "both ranks' copies of the outcome were lost");
    insta::assert_snapshot!(log(&cluster));
}

/// A load fails: the partly read weights are freed, the old map stays in force, and the next switch
/// succeeds.
#[test]
fn session_load_fails() {
    let mut cluster = cluster_with_first_map();
    while cluster.engines[1].state().loading.is_none() {
        cluster.hop_without_loads();
    }
    let next = version(&cluster) + 1;
    cluster.finish_load(1, false);
    let step = cluster.group_step();
    run_until(&mut cluster, |c| {
        let last = c.coordinators[0].status(c.now).last_switch;
        last.is_some_and(|l| l.failure.as_deref() == Some("load_failed"))
    });
    assert!(!all_use_version(&cluster, next));
    run_until(&mut cluster, |c| all_use_version(c, next));
    assert!(cluster.group_step() > step);
    insta::assert_snapshot!(log(&cluster));
}
