//! Faults that an outside driver asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_standins::faults::{AgentFault, EntryFault, FaultError, FaultInjector, StoreFault};
use oriole_standins::health::{HealthState, UpstreamView};
use oriole_standins::store::StoreFault as ServerFault;
use oriole_types::ids::VmName;

use crate::deployment::{Parts, start_agent, start_entry};

/// Length of a pause.
const PAUSE: Duration = Duration::from_secs(5);

/// Carries out faults on a running deployment.
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
        let placed = self
            .parts
            .platform
            .upstream(name)
            .ok_or_else(|| unknown("upstream", name.as_str()))?;
        placed.upstream.set_state(state);
        Ok(())
    }

    async fn entry(&self, addr: SocketAddr, fault: EntryFault) -> Result<(), FaultError> {
        let mut entries = self.parts.entries.iter();
        let entry = entries
            .find(|e| e.settings.address == addr)
            .ok_or_else(|| unknown("entry", &addr.to_string()))?;
        match fault {
            EntryFault::Kill => killed(entry.vm.kill().await),
            EntryFault::Restart => {
                entry.vm.kill().await;
                let start = start_entry(&entry.settings, &self.parts.log);
                entry.vm.restart(start).await.map_err(|e| state(&e))
            }
        }
    }

    async fn agent(&self, name: &VmName, fault: AgentFault) -> Result<(), FaultError> {
        let mut agents = self.parts.agents.iter();
        let agent = agents
            .find(|a| a.settings.name == *name)
            .ok_or_else(|| unknown("agent", name.as_str()))?;
        match fault {
            AgentFault::Kill => killed(agent.vm.kill().await),
            AgentFault::Pause => killed(agent.vm.pause(PAUSE)),
            AgentFault::Restart => {
                agent.vm.kill().await;
                let start = start_agent(&agent.settings, &self.parts.log);
                agent.vm.restart(start).await.map_err(|e| state(&e))
            }
        }
    }

    fn upstreams(&self) -> Vec<UpstreamView> {
        let upstreams = self.parts.platform.upstreams.iter();
        upstreams.map(|u| u.upstream.view()).collect()
    }
}

fn killed(was_running: bool) -> Result<(), FaultError> {
    if was_running {
        return Ok(());
    }
    Err(FaultError::Refused("it does not run".into()))
}

fn unknown(kind: &'static str, name: &str) -> FaultError {
    FaultError::Unknown {
        kind,
        name: name.to_owned(),
    }
}

fn state(e: &eyre::Report) -> FaultError {
    FaultError::Refused(e.to_string())
}
