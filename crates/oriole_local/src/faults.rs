//! Injects faults that a test driver requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_standins::faults::{AgentFault, EntryFault, FaultError, FaultInjector, StoreFault};
use oriole_standins::health::{HealthState, UpstreamView};
use oriole_standins::store::StoreFault as ServerFault;
use oriole_types::ids::VmName;

use crate::deployment::{Parts, start_agent, start_entry};

/// How long [`AgentFault::Pause`] stops an agent.
const AGENT_PAUSE: Duration = Duration::from_secs(5);

/// Injects faults into a running deployment.
pub struct LocalFaults {
    parts: Arc<Parts>,
}

impl LocalFaults {
    pub(crate) fn new(parts: Arc<Parts>) -> Self {
        Self { parts }
    }
}

#[async_trait]
impl FaultInjector for LocalFaults {
    async fn store(&self, fault: StoreFault) -> Result<(), FaultError> {
        self.parts.platform.store.set_fault(match fault {
            StoreFault::Up => ServerFault::Up,
            StoreFault::Down => ServerFault::Down,
            StoreFault::Slow => ServerFault::Slow,
            StoreFault::LoseAnswers => ServerFault::LoseAnswers,
        });
        Ok(())
    }

    async fn upstream(&self, name: &VmName, state: HealthState) -> Result<(), FaultError> {
        let upstream_vm = self
            .parts
            .platform
            .upstream(name)
            .ok_or_else(|| unknown_target("upstream", name.as_str()))?;
        upstream_vm.upstream.set_state(state);
        Ok(())
    }

    async fn entry(&self, addr: SocketAddr, fault: EntryFault) -> Result<(), FaultError> {
        let mut entries = self.parts.entries.iter();
        let entry = entries
            .find(|e| e.settings.address == addr)
            .ok_or_else(|| unknown_target("entry", &addr.to_string()))?;
        match fault {
            EntryFault::Kill => ok_if_running(entry.vm.kill().await),
            EntryFault::Restart => {
                entry.vm.kill().await;
                let start = start_entry(&entry.settings, &self.parts.log);
                entry.vm.restart(start).await.map_err(|e| start_failed(&e))
            }
        }
    }

    async fn agent(&self, name: &VmName, fault: AgentFault) -> Result<(), FaultError> {
        let mut agents = self.parts.agents.iter();
        let agent = agents
            .find(|a| a.settings.name == *name)
            .ok_or_else(|| unknown_target("agent", name.as_str()))?;
        match fault {
            AgentFault::Kill => ok_if_running(agent.vm.kill().await),
            AgentFault::Pause => ok_if_running(agent.vm.pause(AGENT_PAUSE)),
            AgentFault::Restart => {
                agent.vm.kill().await;
                let start = start_agent(&agent.settings, &self.parts.log);
                agent.vm.restart(start).await.map_err(|e| start_failed(&e))
            }
        }
    }

    fn upstreams(&self) -> Vec<UpstreamView> {
        let upstreams = self.parts.platform.upstreams.iter();
        upstreams.map(|u| u.upstream.view()).collect()
    }
}

/// Fails if the daemon was not running when the fault was injected.
fn ok_if_running(was_running: bool) -> Result<(), FaultError> {
    if was_running {
        return Ok(());
    }
    Err(FaultError::Refused("it does not run".into()))
}

fn unknown_target(kind: &'static str, name: &str) -> FaultError {
    FaultError::Unknown {
        kind,
        name: name.to_owned(),
    }
}

fn start_failed(e: &eyre::Report) -> FaultError {
    FaultError::Refused(e.to_string())
}
