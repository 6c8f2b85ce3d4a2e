//! Messages between the agents of a group. Each datagram carries one.

use oriole_fleet::prelude::RankMap;

use crate::choices;
use crate::sampler::ChoiceSample;

/// State of one rank, sent by its agent to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Run of the group. A re-formed group has a new one.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Rank that the status describes.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Number of ranks in the group.
    #[prost(uint32, tag = "4")]
    pub ranks: u32,
    /// Last pass that the rank has begun.
    #[prost(uint64, tag = "5")]
    pub pass: u64,
    /// Version of the map in use.
    #[prost(uint64, tag = "6")]
    pub map_version: u64,
    /// Version of the map whose experts are copied completely, if any.
    #[prost(uint64, optional, tag = "7")]
    pub prepared_version: Option<u64>,
    /// Version that the rank is armed to switch to, if any.
    #[prost(uint64, optional, tag = "8")]
    pub armed_version: Option<u64>,
    /// Version whose preparation the engine refused, if any.
    #[prost(uint64, optional, tag = "9")]
    pub refused_version: Option<u64>,
    /// Whether the group is running.
    #[prost(bool, tag = "10")]
    pub group_running: bool,
    /// Factor by which the rank takes longer than usual.
    #[prost(double, tag = "11")]
    pub slowdown: f64,
    /// How often the router chose each expert since the last sample, by layer set: the first
    /// `choices_len` numbers, scaled by [`crate::choices::scale_choices`] and packed by
    /// [`crate::choices::pack`]. Empty in most statuses, see [`crate::sampler`].
    #[prost(bytes = "vec", tag = "12")]
    pub packed_choices: Vec<u8>,
    /// Experts that the rank holds in the map in use, by layer set. Empty unless the leader has asked
    /// for them.
    #[prost(message, repeated, tag = "13")]
    pub current_experts: Vec<ExpertList>,
    /// Version that the engine has accepted to copy, if any.
    #[prost(uint64, optional, tag = "14")]
    pub preparing_version: Option<u64>,
    /// Number of choices per layer set before scaling.
    #[prost(uint64, tag = "15")]
    pub choices_total: u64,
    /// Pass after which the choices were counted.
    #[prost(uint64, tag = "16")]
    pub choices_from_pass: u64,
    /// Versions in the agent's [`MapCache`](crate::map_cache::MapCache), which a patch may build on.
    #[prost(uint64, repeated, tag = "17")]
    pub known_versions: Vec<u64>,
    /// Number of layer sets times the number of experts; 0 if there are no choices.
    #[prost(uint32, tag = "18")]
    pub choices_len: u32,
}

impl Status {
    /// The choices in this status; empty if there are none or they can't be unpacked.
    #[must_use]
    pub fn scaled_choices(&self) -> Vec<u32> {
        choices::unpack(&self.packed_choices, self.choices_len as usize).unwrap_or_default()
    }

    /// Adds a sample of choices.
    pub fn set_choices(&mut self, sample: &ChoiceSample) {
        self.packed_choices = choices::pack(&sample.scaled);
        self.choices_len = sample.scaled.len() as u32;
        self.choices_total = sample.total;
        self.choices_from_pass = sample.from_pass;
    }
}

/// A list of experts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExpertList {
    /// Ids of the experts.
    #[prost(uint32, repeated, tag = "1")]
    pub experts: Vec<u32>,
}

impl ExpertList {
    /// The ids in the type that engines use.
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

/// Map of one layer set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LayerSet {
    /// Experts of each rank.
    #[prost(message, repeated, tag = "1")]
    pub ranks: Vec<ExpertList>,
}

/// Map switch that the leader wants, sent to the agents that have not carried it out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Run of the group. An intent has no effect in another one.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version of the next map.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The next map. Empty if it is sent as a patch, or if every rank has prepared it.
    #[prost(message, repeated, tag = "4")]
    pub map: Vec<LayerSet>,
    /// Pass at which ranks switch to the map. `None` until every rank has prepared it and the pass is
    /// held.
    #[prost(uint64, optional, tag = "5")]
    pub arm_pass: Option<u64>,
    /// Version of the map that `patch` applies to. `None` if there is no patch.
    #[prost(uint64, optional, tag = "6")]
    pub base_version: Option<u64>,
    /// Difference from the base map, encoded by [`crate::map_cache::diff`].
    #[prost(uint32, repeated, tag = "7")]
    pub patch: Vec<u32>,
    /// Digest of the patched map.
    #[prost(uint64, tag = "8")]
    pub digest: u64,
    /// Ranks that the receiver forwards the intent to, without this list.
    #[prost(uint32, repeated, tag = "9")]
    pub forward_to: Vec<u32>,
}

impl Intent {
    /// The next map in the type that engines use.
    #[must_use]
    pub fn rank_map(&self) -> RankMap {
        self.map
            .iter()
            .map(|set| set.ranks.iter().map(ExpertList::to_ids).collect())
            .collect()
    }
}

/// Converts a map to its form in messages.
#[must_use]
pub fn to_layer_sets(map: &RankMap) -> Vec<LayerSet> {
    map.iter()
        .map(|set| LayerSet {
            ranks: set.iter().map(|r| ExpertList::from(r.as_slice())).collect(),
        })
        .collect()
}

/// One datagram between agents. Carries a status, an intent, or a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// State of the sender's rank.
    #[prost(message, optional, tag = "1")]
    pub status: Option<Status>,
    /// Intent of the sender, which is the leader.
    #[prost(message, optional, tag = "2")]
    pub intent: Option<Intent>,
    /// Whether the sender, which is the leader, asks for the receiver's experts.
    #[prost(bool, tag = "3")]
    pub requests_experts: bool,
}
