//! Which run of each peer is live, and when a restarted agent is up to date.
//!
//! An agent that has started without any state sends `Hello` to all peers. A peer that has recorded
//! the new run rejects messages of earlier runs, so nothing that an earlier run sent can take
//! effect without the new run knowing. The agent is up to date once every peer has answered with
//! the same set of live runs that the agent knows: then no answer is outdated by the restart
//! of another agent.

use std::collections::BTreeSet;

use oriole_types::ids::Incarnation;

use crate::messages::RankId;

/// Runs of all agents of a group as known to one of them.
#[derive(Clone, Debug)]
pub struct PeerRuns {
    own_rank: RankId,
    /// Newest known run, by rank.
    live: Vec<Option<Incarnation>>,
    /// Earlier runs, by rank.
    replaced: Vec<BTreeSet<Incarnation>>,
    /// Live runs listed in each peer's last `Welcome`, by rank of the peer.
    answered_views: Vec<Option<Vec<Option<Incarnation>>>>,
}

/// How a sender's run relates to the live run of its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The newest known run.
    Live,
    /// A run that was never seen before.
    Unseen,
    /// An earlier run that a newer one has replaced.
    Replaced,
}

impl PeerRuns {
    /// Creates a record that contains only the agent's own run.
    #[must_use]
    pub fn new(own_rank: RankId, ranks: usize, incarnation: Incarnation) -> Self {
        let mut live = vec![None; ranks];
        live[usize::from(own_rank)] = Some(incarnation);
        Self {
            own_rank,
            live,
            replaced: vec![BTreeSet::new(); ranks],
            answered_views: vec![None; ranks],
        }
    }

    /// The live runs, by rank.
    #[must_use]
    pub fn live(&self) -> &[Option<Incarnation>] {
        &self.live
    }

    /// Returns how a sender's run relates to the live run of its rank.
    #[must_use]
    pub fn classify(&self, rank: RankId, incarnation: Incarnation) -> RunState {
        let i = usize::from(rank);
        if self.live[i] == Some(incarnation) {
            RunState::Live
        } else if self.replaced[i].contains(&incarnation) {
            RunState::Replaced
        } else {
            RunState::Unseen
        }
    }

    /// Makes a newly seen run the live one and drops the answer of the previous run.
    pub fn replace_live(&mut self, rank: RankId, incarnation: Incarnation) {
        let i = usize::from(rank);
        let previous = self.live[i].replace(incarnation);
        self.replaced[i].extend(previous);
        self.answered_views[i] = None;
    }

    /// Whether no run of the rank was ever seen.
    #[must_use]
    pub fn is_unknown(&self, rank: RankId) -> bool {
        self.live[usize::from(rank)].is_none()
    }

    /// Records the live runs that a peer listed in its `Welcome`.
    pub fn record_answer(&mut self, rank: RankId, view: Vec<Option<Incarnation>>) {
        self.answered_views[usize::from(rank)] = Some(view);
    }

    /// Whether all peers have answered with the same live runs as known here.
    #[must_use]
    pub fn all_agree(&self) -> bool {
        self.unconfirmed_peers().is_empty()
    }

    /// Peers that have not yet answered with the same live runs.
    #[must_use]
    pub fn unconfirmed_peers(&self) -> Vec<RankId> {
        (0..self.live.len() as RankId)
            .filter(|r| *r != self.own_rank && !self.has_confirmed(*r))
            .collect()
    }

    fn has_confirmed(&self, rank: RankId) -> bool {
        self.answered_views[usize::from(rank)].as_ref() == Some(&self.live)
            && self.live.iter().all(Option::is_some)
    }
}
