//! The place where services find each other by name.

use std::any::{Any, type_name};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::error::KernelError;

type Slot = Arc<dyn Any + Send + Sync>;

/// Services of one process by name.
///
/// Clones share the same services. Use it in a plugin's `build` to publish what the plugin offers,
/// and in a service's `start` to find what it needs.
#[derive(Clone, Default)]
pub struct Registry {
    slots: Arc<Mutex<BTreeMap<String, Slot>>>,
}

impl Registry {
    /// Publishes a service under a name.
    ///
    /// # Errors
    ///
    /// Fails with [`KernelError::Duplicate`] if the name is taken.
    pub fn insert<T: Send + Sync + 'static>(
        &self,
        name: &str,
        service: Arc<T>,
    ) -> Result<(), KernelError> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.contains_key(name) {
            return Err(KernelError::Duplicate { name: name.into() });
        }
        slots.insert(name.into(), service);
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// Fails if no service has that name, or if it is of another type.
    pub fn get<T: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<T>, KernelError> {
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = slots
            .get(name)
            .ok_or_else(|| KernelError::NotRegistered { name: name.into() })?;
        Arc::clone(slot)
            .downcast()
            .map_err(|_| KernelError::WrongType {
                name: name.into(),
                expected: type_name::<T>(),
            })
    }
}
