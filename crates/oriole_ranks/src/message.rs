//! What agents of a group tell each other, one datagram each.

use oriole_fleet::prelude::RankMap;

/// State of one rank, from its agent to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// Group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Run of the group.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Rank.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Number of ranks.
    #[prost(uint32, tag = "4")]
    pub ranks: u32,
    /// Last pass that was begun.
    #[prost(uint64, tag = "5")]
    pub pass: u64,
    /// Version of the map in use.
    #[prost(uint64, tag = "6")]
    pub map_version: u64,
    /// Version that is copied in full.
    #[prost(uint64, optional, tag = "7")]
    pub prepared: Option<u64>,
    /// Version that the rank will change to.
    #[prost(uint64, optional, tag = "8")]
    pub armed: Option<u64>,
    /// Version whose preparation the engine refused.
    #[prost(uint64, optional, tag = "9")]
    pub refused_version: Option<u64>,
    /// Whether the group runs.
    #[prost(bool, tag = "10")]
    pub open: bool,
    /// How many times as long as usual the rank takes.
    #[prost(double, tag = "11")]
    pub slowdown: f64,
    /// How often each expert was chosen of late, by layer set, in parts of [`CHOICES_SCALE`] a layer
    /// set; empty if nothing new was read.
    #[prost(uint32, repeated, tag = "12")]
    pub scaled_choices: Vec<u32>,
    /// Experts of the rank in the map in use, by layer set.
    #[prost(message, repeated, tag = "13")]
    pub current_experts: Vec<ExpertList>,
    /// Version that the engine has begun to copy.
    #[prost(uint64, optional, tag = "14")]
    pub preparing_version: Option<u64>,
    /// Choices in each layer set that `scaled_choices` stands for.
    #[prost(uint64, tag = "15")]
    pub choices_total: u64,
    /// Pass up to which the choices before `scaled_choices` were counted.
    #[prost(uint64, tag = "16")]
    pub choices_from_pass: u64,
    /// Versions whose maps the agent knows whole.
    #[prost(uint64, repeated, tag = "17")]
    pub known_versions: Vec<u64>,
}

/// Parts that the choices of a layer set are told in: as fine as few samples allow, and most experts
/// take one byte.
pub const CHOICES_SCALE: u64 = 4096;

/// Choices as they are told: shares of their layer set.
#[must_use]
pub fn scale_choices(choices: &[u64], layer_sets: usize) -> Vec<u32> {
    if layer_sets == 0 || !choices.len().is_multiple_of(layer_sets) {
        return Vec::new();
    }
    let scaled = choices.chunks(choices.len() / layer_sets).flat_map(|set| {
        let total = set.iter().sum::<u64>().max(1);
        set.iter().map(move |c| (c * CHOICES_SCALE / total) as u32)
    });
    scaled.collect()
}

/// A list of experts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExpertList {
    /// Experts.
    #[prost(uint32, repeated, tag = "1")]
    pub experts: Vec<u32>,
}

impl ExpertList {
    /// The list as engines take it.
    #[must_use]
    pub fn to_ids(&self) -> Vec<u16> {
        self.experts.iter().map(|e| *e as u16).collect()
    }
}

impl From<&[u16]> for ExpertList {
    fn from(ids: &[u16]) -> Self {
        Self {
            experts: ids.iter().map(|e| u32::from(*e)).collect(),
        }
    }
}

/// Experts of one layer set, by rank.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LayerSet {
    /// Ranks.
    #[prost(message, repeated, tag = "1")]
    pub ranks: Vec<ExpertList>,
}

/// What the leader wants, to all agents of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    /// Group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Run of the group.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version of the next map.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The next map; empty if it is told as a patch, or if every rank has prepared it.
    #[prost(message, repeated, tag = "4")]
    pub map: Vec<LayerSet>,
    /// Pass at which it comes into use; none before every rank has prepared it.
    #[prost(uint64, optional, tag = "5")]
    pub arm_pass: Option<u64>,
    /// Version of the map that `patch` builds on.
    #[prost(uint64, optional, tag = "6")]
    pub base_version: Option<u64>,
    /// Lists in which the next map differs, see [`crate::map_cache::difference`].
    #[prost(uint32, repeated, tag = "7")]
    pub patch: Vec<u32>,
    /// Digest of the map that the patch leads to.
    #[prost(uint64, tag = "8")]
    pub digest: u64,
}

impl Intent {
    /// The next map as engines take it.
    #[must_use]
    pub fn rank_map(&self) -> RankMap {
        self.map
            .iter()
            .map(|set| set.ranks.iter().map(ExpertList::to_ids).collect())
            .collect()
    }
}

/// A map as it is sent.
#[must_use]
pub fn to_layer_sets(map: &RankMap) -> Vec<LayerSet> {
    map.iter()
        .map(|set| LayerSet {
            ranks: set.iter().map(|r| ExpertList::from(r.as_slice())).collect(),
        })
        .collect()
}

/// One datagram between agents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// State of the sender's rank.
    #[prost(message, optional, tag = "1")]
    pub status: Option<Status>,
    /// What the sender, the leader, wants.
    #[prost(message, optional, tag = "2")]
    pub intent: Option<Intent>,
}
