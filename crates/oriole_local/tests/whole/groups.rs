//! A model group in a whole deployment: every map comes into force on all ranks at the same step.

use std::sync::Mutex;
use std::time::Duration;

use crate::common::start;
use oriole_local::prelude::*;
use oriole_placement::map::{MapId, MapVersion};
use oriole_standins::faults::{AgentFault, FaultInjector};
use oriole_standins::group::StepSpan;
use oriole_standins::health::HealthState;
use oriole_types::prelude::*;

/// Timeout of [`eventually`]; covers the lapse of a lease, an election and two plans.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(90);

/// Waits until a condition on the group's steps holds; panics with `what` after the timeout.
async fn eventually(what: &str, deployment: &Deployment, holds: impl Fn(&[StepSpan]) -> bool) {
    let holds = async {
        while !holds(&steps(deployment)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = tokio::time::timeout(EVENTUALLY_TIMEOUT, holds).await;
    assert!(reached.is_ok(), "{what}");
}

fn steps(deployment: &Deployment) -> Vec<StepSpan> {
    let group = deployment.platform().group.as_ref().expect("group");
    group.steps()
}

/// Number of steps that all ranks have begun.
fn step_count(steps: &[StepSpan]) -> u64 {
    steps.iter().map(|s| s.steps).sum()
}

/// The map of each span of steps. Panics if a step mixed maps, ran twice or was skipped.
fn maps_of_steps(steps: &[StepSpan]) -> Vec<MapId> {
    let mut next = 0;
    for span in steps {
        assert_eq!(span.first, next, "{span:?}");
        assert_eq!(span.maps.len(), 1, "{span:?}");
        next += span.steps;
    }
    steps.iter().flat_map(|s| s.maps.clone()).collect()
}

/// VMs whose agents act as coordinator of the group.
fn coordinators(deployment: &Deployment) -> Vec<VmName> {
    let status = |agent: &oriole_agent::daemon::AgentDaemon| {
        let core = agent.core();
        core.group.status().map(|_| core.name.clone())
    };
    deployment
        .map_agents(status)
        .into_iter()
        .flatten()
        .collect()
}

/// Whether every entry knows the group's coordinator, its map and the last map change.
fn all_entries_know_group(deployment: &Deployment) -> bool {
    let known = deployment.map_entries(|entry| {
        let groups = entry.state().groups.bodies();
        groups.iter().any(|g| {
            let is_named = g.name == "dispatch" && !g.coordinator.is_empty();
            let last = g.last_switch.as_ref();
            is_named && g.map_version.is_some() && last.is_some_and(|s| s.committed)
        })
    });
    known.iter().all(|k| *k)
}

/// The newest map version that a step used.
fn newest_version(steps: &[StepSpan]) -> MapVersion {
    let newest = maps_of_steps(steps).iter().map(|m| m.version).max();
    newest.unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn group_switches_and_survives_its_coordinator() {
    let deployment = start(DeploymentName::Grucce).await;
    eventually("steps under a first map", &deployment, |s| {
        step_count(s) > 0
    })
    .await;
    eventually("a switch", &deployment, |s| maps_of_steps(s).len() > 1).await;
    let coordinator = Mutex::new(None);
    eventually("a coordinator", &deployment, |_| {
        let found = coordinators(&deployment).pop();
        let is_found = found.is_some();
        *coordinator.lock().expect("lock") = found;
        is_found
    })
    .await;
    let coordinator = coordinator.into_inner().expect("lock").expect("VM");
    eventually("entries describe the group", &deployment, |_| {
        all_entries_know_group(&deployment)
    })
    .await;
    let faults = deployment.faults();
    let killed = faults.agent(&coordinator, AgentFault::Kill).await;
    killed.expect("kill");
    let before = step_count(&steps(&deployment));
    eventually("steps go on", &deployment, |s| step_count(s) > before + 50).await;
    let restarted = faults.agent(&coordinator, AgentFault::Restart).await;
    restarted.expect("restart");
    let version = newest_version(&steps(&deployment));
    eventually("another switch", &deployment, |s| {
        newest_version(s) > version
    })
    .await;
    let before = step_count(&steps(&deployment));
    eventually("steps go on", &deployment, |s| step_count(s) > before + 50).await;
    maps_of_steps(&steps(&deployment));
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn group_waits_for_a_crashed_engine() {
    let deployment = start(DeploymentName::Grucce).await;
    eventually("steps under a first map", &deployment, |s| {
        step_count(s) > 0
    })
    .await;
    let group = deployment.platform().group.as_ref().expect("group");
    let run = group.states()[1].run;
    let faults = deployment.faults();
    let engine = VmName::new("dispatch-2");
    let crashed = faults.upstream(&engine, HealthState::Crash).await;
    crashed.expect("crash");
    eventually("the engine is back", &deployment, |_| {
        let state = group.states().swap_remove(1);
        state.run != run && state.active.is_some()
    })
    .await;
    let before = step_count(&steps(&deployment));
    eventually("steps go on", &deployment, |s| step_count(s) > before + 50).await;
    maps_of_steps(&steps(&deployment));
    deployment.shutdown().await;
}
