//! Refuses orders with an old fencing number, for engines that do not check it themselves.

use oriole_types::ids::Fence;

/// Why an order must not be passed on to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceRefusal {
    /// The agent has not yet read the highest issued number from the store.
    #[error("the highest fencing number has not been read from the store yet")]
    Unknown,
    /// A higher number has been issued or already accepted.
    #[error("the fencing number is lower than {highest}")]
    Old {
        /// Highest known number.
        highest: Fence,
    },
}

/// Highest fencing number that an agent knows, and the check of orders against it.
///
/// A number is issued by a write to the store before the first order that carries it, so the stored
/// number is never lower than one that was accepted. After a start all orders are refused until
/// [`FenceGate::observe`] is called with the stored number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGate {
    highest: Option<Fence>,
}

impl FenceGate {
    /// Records the highest issued number, as read from the store. The known number never decreases.
    pub fn observe(&mut self, issued: Fence) {
        self.highest = self.highest.max(Some(issued));
    }

    /// Checks an order's fencing number and records it. A number equal to the highest is accepted,
    /// since its holder may give several orders.
    ///
    /// # Errors
    ///
    /// Fails if the number is lower than the highest, or if the highest is not known yet.
    pub fn check(&mut self, fence: Fence) -> Result<(), FenceRefusal> {
        let highest = self.highest.ok_or(FenceRefusal::Unknown)?;
        if fence < highest {
            return Err(FenceRefusal::Old { highest });
        }
        self.highest = Some(fence);
        Ok(())
    }

    /// Highest known number; `None` until it has been read from the store.
    #[must_use]
    pub fn highest(&self) -> Option<Fence> {
        self.highest
    }
}
