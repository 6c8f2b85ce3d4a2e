//! Fixed sizes of a group.

use oriole_types::catalog::Group;

/// Reason why no placement exists for the sizes of a group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShapeError {
    /// The named size is zero or larger than the planner supports.
    #[error("{0} is zero or too large")]
    Size(&'static str),
    /// The group has fewer slots in a layer than experts.
    #[error("{slots} slots cannot hold {experts} experts")]
    TooFewSlots {
        /// Number of slots of all ranks in one layer.
        slots: usize,
        /// Number of experts in one layer.
        experts: usize,
    },
    /// A rank has more slots than there are experts.
    #[error("a rank has more slots than there are experts")]
    TooManySlots,
}

oriole_types::domain_type! {
    /// Sizes of a group and the failure domains of its ranks.
    pub struct GroupShape {
        /// Number of ranks.
        pub ranks: usize,
        /// Number of experts in a layer.
        pub experts: usize,
        /// Number of layers.
        pub layers: usize,
        /// Number of slots per rank and layer.
        pub slots_per_rank: usize,
        /// Size of one expert's weights in one layer, in bytes.
        pub expert_bytes: u64,
        /// Rate at which the group may read from the weight store, in bytes per second.
        pub weight_bytes_per_s: u64,
        /// Index of each rank's failure domain.
        pub domains: Vec<u16>,
    }
}

impl GroupShape {
    /// Takes the sizes from a group of the catalog. Ranks without an entry in `domains` get domain 0.
    ///
    /// # Errors
    ///
    /// Fails if no placement exists for these sizes.
    pub fn new(group: &Group, domains: &[u16]) -> Result<Self, ShapeError> {
        let mut domains = domains.to_vec();
        domains.resize(group.ranks as usize, 0);
        let shape = Self {
            ranks: group.ranks as usize,
            experts: group.experts as usize,
            layers: group.layers as usize,
            slots_per_rank: group.slots_per_rank as usize,
            expert_bytes: group.expert_bytes,
            weight_bytes_per_s: group.weight_bytes_per_s.max(1),
            domains,
        };
        shape.check()?;
        Ok(shape)
    }

    /// Number of slots of all ranks in one layer.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.ranks * self.slots_per_rank
    }

    /// Checks that a placement exists for these sizes.
    ///
    /// # Errors
    ///
    /// Fails with the size that rules a placement out.
    pub fn check(&self) -> Result<(), ShapeError> {
        for (name, size) in [
            ("ranks", self.ranks),
            ("experts", self.experts),
            ("layers", self.layers),
            ("slots_per_rank", self.slots_per_rank),
        ] {
            if size == 0 || size > usize::from(u16::MAX) {
                return Err(ShapeError::Size(name));
            }
        }
        if self.slots() < self.experts {
            return Err(ShapeError::TooFewSlots {
                slots: self.slots(),
                experts: self.experts,
            });
        }
        if self.slots_per_rank > self.experts {
            return Err(ShapeError::TooManySlots);
        }
        Ok(())
    }

    /// Time to read one expert's weights at the group's rate, in seconds.
    #[must_use]
    pub fn expert_read_s(&self) -> f64 {
        self.expert_bytes as f64 / self.weight_bytes_per_s.max(1) as f64
    }
}
