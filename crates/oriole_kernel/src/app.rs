//! Assembly of a process from plugins, and its ordered start and stop.

use async_trait::async_trait;

use crate::error::KernelError;
use crate::registry::Registry;

/// A part of a process that runs between start and stop.
#[async_trait]
pub trait Service: Send + Sync + 'static {
    /// Name under which other services may wait for this one.
    fn name(&self) -> &'static str;

    /// Names of the services that must have started before.
    fn dependencies(&self) -> &'static [&'static str] {
        &[]
    }

    /// Starts the service; returns once others may rely on it.
    ///
    /// # Errors
    ///
    /// Any error ends the start of the whole process.
    async fn start(&self, registry: &Registry) -> Result<(), KernelError>;

    /// Stops the service; returns once nothing of it runs any more.
    async fn stop(&self);
}

/// A crate's contribution to a process.
pub trait Plugin {
    /// Name of the plugin.
    fn name(&self) -> &'static str;

    /// Registers services.
    ///
    /// # Errors
    ///
    /// Fails if a name is taken or something needed is missing.
    fn build(&self, app: &mut App) -> Result<(), KernelError>;
}

/// A process under assembly.
#[derive(Default)]
pub struct App {
    registry: Registry,
    services: Vec<Box<dyn Service>>,
}

impl App {
    /// An app without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets a plugin register what it offers.
    ///
    /// # Errors
    ///
    /// Passes on the plugin's error.
    pub fn add_plugin(&mut self, plugin: &dyn Plugin) -> Result<&mut Self, KernelError> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Adds a service that will run.
    pub fn add_service(&mut self, service: Box<dyn Service>) -> &mut Self {
        self.services.push(service);
        self
    }

    /// The services that can be found by name.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Starts all services in order of their dependencies.
    ///
    /// # Errors
    ///
    /// Fails on a missing or circular dependency, or when a service does not start; the services
    /// that had started are stopped again.
    pub async fn start(self) -> Result<RunningApp, KernelError> {
        let mut running = RunningApp {
            registry: self.registry,
            services: Vec::new(),
        };
        for service in start_order(self.services)? {
            if let Err(e) = service.start(&running.registry).await {
                running.stop().await;
                return Err(e);
            }
            running.services.push(service);
        }
        Ok(running)
    }
}

/// Orders services so that each comes after those it waits for; ties keep their order.
fn start_order(mut waiting: Vec<Box<dyn Service>>) -> Result<Vec<Box<dyn Service>>, KernelError> {
    check_dependencies(&waiting)?;
    let mut ordered: Vec<Box<dyn Service>> = Vec::new();
    while !waiting.is_empty() {
        let ready = waiting.iter().position(|s| {
            s.dependencies()
                .iter()
                .all(|name| ordered.iter().any(|o| o.name() == *name))
        });
        match ready {
            Some(i) => ordered.push(waiting.remove(i)),
            None => {
                let names: Vec<_> = waiting.iter().map(|s| s.name()).collect();
                return Err(KernelError::DependencyCycle {
                    names: names.join(", "),
                });
            }
        }
    }
    Ok(ordered)
}

fn check_dependencies(services: &[Box<dyn Service>]) -> Result<(), KernelError> {
    for name in services.iter().flat_map(|s| s.dependencies()) {
        if !services.iter().any(|s| s.name() == *name) {
            return Err(KernelError::NotRegistered {
                name: (*name).into(),
            });
        }
    }
    Ok(())
}

/// A process whose services run.
pub struct RunningApp {
    registry: Registry,
    services: Vec<Box<dyn Service>>,
}

impl RunningApp {
    /// The services that can be found by name.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops all services in the reverse of their start order.
    pub async fn stop(&mut self) {
        while let Some(service) = self.services.pop() {
            service.stop().await;
        }
    }
}
