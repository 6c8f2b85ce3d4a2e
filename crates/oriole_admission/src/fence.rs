//! Refusal of orders with an old fencing number, for engines that do not check it themselves.

use oriole_types::ids::Fence;

/// Why an order must not be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceRefusal {
    /// The agent has not yet read the highest number given from the store.
    #[error("the highest fencing number is not known after the start")]
    Unknown,
    /// A higher number was given or obeyed.
    #[error("the fencing number is lower than {highest}")]
    Old {
        /// Highest number known.
        highest: Fence,
    },
}

/// Highest fencing number that an agent knows of, and the check against it.
///
/// A number is given by a write to the store before the first order that carries it, so the stored
/// number is never lower than one that was obeyed. After a start nothing is passed on before
/// [`FenceGate::learn`] brought that number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGate {
    highest: Option<Fence>,
}

impl FenceGate {
    /// Learns the highest number given, as read from the store. It never goes down.
    pub fn learn(&mut self, given: Fence) {
        self.highest = self.highest.max(Some(given));
    }

    /// Judges an order; a number equal to the highest passes, since one holder may give several
    /// orders under it.
    ///
    /// # Errors
    ///
    /// Fails if the order is old, or if that cannot be known.
    pub fn judge(&mut self, fence: Fence) -> Result<(), FenceRefusal> {
        let highest = self.highest.ok_or(FenceRefusal::Unknown)?;
        if fence < highest {
            return Err(FenceRefusal::Old { highest });
        }
        self.highest = Some(fence);
        Ok(())
    }

    /// Highest number known.
    #[must_use]
    pub fn highest(&self) -> Option<Fence> {
        self.highest
    }
}
