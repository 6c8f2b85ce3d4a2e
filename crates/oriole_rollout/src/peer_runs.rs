//! Which run of each peer is the live one, and when a restarted agent knows enough.
//!
//! An agent that has started without memory greets all peers. A peer that has taken note of the
//! new run believes no message of an earlier one, so nothing the earlier run sent can take effect
//! behind the new run's back. The agent knows enough once every peer has answered, and every
//! answer was given by a peer that knew the same live runs as the agent: then no answer was
//! overtaken by another agent's restart.

use std::collections::BTreeSet;

use oriole_types::ids::Incarnation;

use crate::messages::RankId;

/// Runs of all agents of a group as one of them knows them.
#[derive(Clone, Debug)]
pub struct PeerRuns {
    own_rank: RankId,
    live: Vec<Option<Incarnation>>,
    replaced: Vec<BTreeSet<Incarnation>>,
    answered_views: Vec<Option<Vec<Option<Incarnation>>>>,
}

/// What a sender's run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The live run.
    Live,
    /// A run that has not been seen.
    Unseen,
    /// A run that another has replaced.
    Replaced,
}

impl PeerRuns {
    /// Knows only the agent's own run.
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

    /// Judges the run of a sender.
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

    /// Takes note of a run that has not been seen; it replaces the live one.
    pub fn replace_live(&mut self, rank: RankId, incarnation: Incarnation) {
        let i = usize::from(rank);
        let previous = self.live[i].replace(incarnation);
        self.replaced[i].extend(previous);
        self.answered_views[i] = None;
    }

    /// Whether no run of a rank has been seen.
    #[must_use]
    pub fn is_unknown(&self, rank: RankId) -> bool {
        self.live[usize::from(rank)].is_none()
    }

    /// Takes in the view that a peer's answer carried.
    pub fn record_answer(&mut self, rank: RankId, view: Vec<Option<Incarnation>>) {
        self.answered_views[usize::from(rank)] = Some(view);
    }

    /// Whether all peers have answered and know the same live runs.
    #[must_use]
    pub fn all_agree(&self) -> bool {
        self.unconfirmed_peers().is_empty()
    }

    /// Peers that have yet to answer with the same live runs.
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
