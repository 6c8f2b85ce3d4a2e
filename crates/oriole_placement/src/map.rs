//! Expert maps: which rank holds which expert, and the share of its load that each replica takes.

use oriole_types::digest::Digest;

use crate::shape::GroupShape;

/// Index of an expert within its layer.
pub type ExpertId = u16;

/// Share of a replica that takes the whole load of its expert. Shares are integers out of this.
pub const FULL_SHARE: u16 = 10_000;

oriole_types::number_type! {
    /// Version of an expert map. Increases with each new map of a group.
    pub struct MapVersion
}

oriole_types::value_type! {
    /// Identifies an expert map by version and content. Two maps are equal only if both match.
    pub struct MapId {
        /// Version of the map.
        pub version: MapVersion,
        /// Digest of the map's placement and shares.
        pub digest: Digest,
    }
}

oriole_types::value_type! {
    /// A read of one expert's weights that a rank performs before it can use a map.
    pub struct Move {
        /// Index of the layer.
        pub layer: u16,
        /// Rank that reads the weights.
        pub rank: u16,
        /// Slot of that rank that is overwritten.
        pub slot: u16,
        /// Expert whose weights are read.
        pub expert: ExpertId,
        /// Expert that the slot held before the read.
        pub evicted: ExpertId,
    }
}

oriole_types::domain_type! {
    /// Placement and shares of one layer: the slots of rank 0, then those of rank 1, and so on.
    pub struct LayerMap {
        /// Expert in each slot.
        pub experts: Vec<ExpertId>,
        /// Share of its expert's load that each slot takes, out of [`FULL_SHARE`].
        pub shares: Vec<u16>,
    }
}

oriole_types::domain_type! {
    /// The expert map of a group.
    pub struct ExpertMap {
        /// Version of the map.
        pub version: MapVersion,
        /// Number of slots per rank and layer.
        pub slots_per_rank: usize,
        /// Placement and shares of each layer.
        pub layers: Vec<LayerMap>,
    }
}

impl ExpertMap {
    /// The map's version and digest.
    #[must_use]
    pub fn id(&self) -> MapId {
        MapId {
            version: self.version,
            digest: self.digest(),
        }
    }

    /// Digest of placement and shares, without the version.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut buf = Vec::new();
        buf.extend((self.slots_per_rank as u64).to_be_bytes());
        for layer in &self.layers {
            buf.extend((layer.experts.len() as u64).to_be_bytes());
            buf.extend(layer.experts.iter().flat_map(|e| e.to_be_bytes()));
            buf.extend(layer.shares.iter().flat_map(|s| s.to_be_bytes()));
        }
        Digest::of(&buf)
    }

    /// Reads that turn this map's placement into that of `next`, layer by layer.
    #[must_use]
    pub fn moves_to(&self, next: &Self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (l, (old, new)) in self.layers.iter().zip(&next.layers).enumerate() {
            layer_moves(l as u16, self.slots_per_rank, old, new, &mut moves);
        }
        moves
    }

    /// Whether the map fits the shape, every expert has a replica, no rank holds an expert twice, and
    /// each expert's shares sum to [`FULL_SHARE`].
    #[must_use]
    pub fn is_valid(&self, shape: &GroupShape) -> bool {
        self.slots_per_rank == shape.slots_per_rank
            && self.layers.len() == shape.layers
            && self.layers.iter().all(|l| l.is_valid(shape))
    }
}

impl LayerMap {
    /// Experts in the slots of one rank.
    #[must_use]
    pub fn rank_experts(&self, rank: usize, slots_per_rank: usize) -> &[ExpertId] {
        &self.experts[rank * slots_per_rank..(rank + 1) * slots_per_rank]
    }

    /// Load of each rank, given the load of each expert.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f32], slots_per_rank: usize) -> Vec<f32> {
        let slot_load =
            |(e, s): (&u16, &u16)| loads[usize::from(*e)] * f32::from(*s) / f32::from(FULL_SHARE);
        self.experts
            .chunks(slots_per_rank)
            .zip(self.shares.chunks(slots_per_rank))
            .map(|(experts, shares)| experts.iter().zip(shares).map(slot_load).sum())
            .collect()
    }

    /// Whether the map fits the shape, every expert has a replica, no rank holds an expert twice, and
    /// each expert's shares sum to [`FULL_SHARE`].
    #[must_use]
    pub fn is_valid(&self, shape: &GroupShape) -> bool {
        let mut sums = vec![0u32; shape.experts];
        for (e, s) in self.experts.iter().zip(&self.shares) {
            match sums.get_mut(usize::from(*e)) {
                Some(sum) => *sum += u32::from(*s),
                None => return false,
            }
        }
        self.experts.len() == shape.slots()
            && self.shares.len() == shape.slots()
            && sums.iter().all(|s| *s == u32::from(FULL_SHARE))
            && self.experts.chunks(shape.slots_per_rank).all(all_distinct)
    }
}

fn all_distinct(experts: &[ExpertId]) -> bool {
    experts
        .iter()
        .enumerate()
        .all(|(i, e)| !experts[..i].contains(e))
}

fn layer_moves(
    layer: u16,
    slots_per_rank: usize,
    old: &LayerMap,
    new: &LayerMap,
    moves: &mut Vec<Move>,
) {
    let ranks = old
        .experts
        .chunks(slots_per_rank)
        .zip(new.experts.chunks(slots_per_rank));
    for (rank, (old_experts, new_experts)) in ranks.enumerate() {
        let mut free = (0..slots_per_rank).filter(|s| !new_experts.contains(&old_experts[*s]));
        for expert in new_experts.iter().filter(|e| !old_experts.contains(e)) {
            let Some(slot) = free.next() else { break };
            moves.push(Move {
                layer,
                rank: rank as u16,
                slot: slot as u16,
                expert: *expert,
                evicted: old_experts[slot],
            });
        }
    }
}
