//! Builds a process from plugins, and starts and stops its services in order.

use async_trait::async_trait;

use crate::error::KernelError;
use crate::registry::Registry;

/// A part of a process with an ordered start and stop.
#[async_trait]
pub trait Service: Send + Sync + 'static {
    /// Name by which other services depend on this one.
    fn name(&self) -> &'static str;

    /// Names of the services that must be started before this one.
    fn dependencies(&self) -> &'static [&'static str] {
        &[]
    }

    /// Starts the service; returns when services that depend on it may start.
    ///
    /// # Errors
    ///
    /// Any error aborts the start of the process.
    async fn start(&self, registry: &Registry) -> Result<(), KernelError>;

    /// Stops the service; returns when none of its tasks is running.
    async fn stop(&self);
}

/// A set of services that a crate adds to a process.
pub trait Plugin {
    /// Name of the plugin; usually that of its service.
    fn name(&self) -> &'static str;

    /// Adds services to the app.
    ///
    /// # Errors
    ///
    /// Fails if a name is already registered, or if the plugin needs an object that is not.
    fn build(&self, app: &mut App) -> Result<(), KernelError>;
}

/// A process before its start.
#[derive(Default)]
pub struct App {
    registry: Registry,
    services: Vec<Box<dyn Service>>,
}

impl App {
    /// Creates an app without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the services of a plugin.
    ///
    /// # Errors
    ///
    /// Returns the plugin's error.
    pub fn add_plugin(&mut self, plugin: &dyn Plugin) -> Result<&mut Self, KernelError> {
        plugin.build(self)?;
        Ok(self)
    }

    /// Adds a service, which [`App::start`] will start.
    pub fn add_service(&mut self, service: Box<dyn Service>) -> &mut Self {
        self.services.push(service);
        self
    }

    /// Objects that services share by name.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Starts all services in the order of their dependencies.
    ///
    /// # Errors
    ///
    /// Fails on a missing or circular dependency, or if a service fails to start. In that case the
    /// services that were already started are stopped.
    pub async fn start(self) -> Result<RunningApp, KernelError> {
        let mut running = RunningApp {
            registry: self.registry,
            services: Vec::new(),
        };
        for service in sort_by_dependencies(self.services)? {
            if let Err(e) = service.start(&running.registry).await {
                running.stop().await;
                return Err(e);
            }
            running.services.push(service);
        }
        Ok(running)
    }
}

/// Sorts services so that each comes after its dependencies. Independent services keep their order.
fn sort_by_dependencies(
    mut remaining: Vec<Box<dyn Service>>,
) -> Result<Vec<Box<dyn Service>>, KernelError> {
    check_dependencies(&remaining)?;
    let mut ordered: Vec<Box<dyn Service>> = Vec::new();
    while !remaining.is_empty() {
        let ready = remaining.iter().position(|s| {
            s.dependencies()
                .iter()
                .all(|name| ordered.iter().any(|o| o.name() == *name))
        });
        match ready {
            Some(i) => ordered.push(remaining.remove(i)),
            None => {
                let names: Vec<_> = remaining.iter().map(|s| s.name()).collect();
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

/// A started process.
pub struct RunningApp {
    registry: Registry,
    services: Vec<Box<dyn Service>>,
}

impl RunningApp {
    /// Objects that services share by name.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops all services in the reverse order of their start.
    pub async fn stop(&mut self) {
        while let Some(service) = self.services.pop() {
            service.stop().await;
        }
    }
}
