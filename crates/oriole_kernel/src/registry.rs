//! Objects that services share by name.

use std::any::{Any, type_name};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::error::KernelError;

type AnyService = Arc<dyn Any + Send + Sync>;

/// The services of a process by name.
///
/// Clones share the same map. Insert services in a plugin's `build` or a service's `start`; get them in
/// the `start` of services that depend on them.
#[derive(Clone, Default)]
pub struct Registry {
    services: Arc<Mutex<BTreeMap<String, AnyService>>>,
}

impl Registry {
    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Fails with [`KernelError::Duplicate`] if the name is already registered.
    pub fn insert<T: Send + Sync + 'static>(
        &self,
        name: &str,
        service: Arc<T>,
    ) -> Result<(), KernelError> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(KernelError::Duplicate { name: name.into() });
        }
        services.insert(name.into(), service);
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// Fails if no service has the name, or if the service is not a `T`.
    pub fn get<T: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<T>, KernelError> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let found = services
            .get(name)
            .ok_or_else(|| KernelError::NotRegistered { name: name.into() })?;
        Arc::clone(found)
            .downcast()
            .map_err(|_| KernelError::WrongType {
                name: name.into(),
                expected: type_name::<T>(),
            })
    }
}
