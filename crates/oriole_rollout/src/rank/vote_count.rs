//! Counting votes and deciding as the closer of a switch.

use std::collections::BTreeSet;
use std::time::Duration;

use metrics::counter;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, Proposal, RankId};

/// Votes on a switch that has not been decided yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct VoteCount {
    pub proposal: Proposal,
    /// Other ranks that voted yes.
    yes_votes: BTreeSet<RankId>,
    /// Whether a rank voted no.
    refused: bool,
    /// When the switch is aborted for missing votes.
    deadline: Duration,
    /// When the proposal was last sent to the ranks without a vote.
    last_asked_at: Duration,
}

impl VoteCount {
    pub fn new(proposal: Proposal, now: Duration, deadline: Duration) -> Self {
        Self {
            proposal,
            yes_votes: BTreeSet::new(),
            refused: false,
            deadline,
            last_asked_at: now,
        }
    }
}

impl RankAgent {
    pub(super) fn on_vote(
        &mut self,
        now: Duration,
        from: RankId,
        proposal: Proposal,
        yes: bool,
        out: &mut Actions,
    ) {
        if !self.synced || proposal.closer != self.own_rank {
            return;
        }
        if self.committed == Some(proposal) {
            return self.send_outcome(from, proposal, true, out);
        }
        if proposal.switch > self.highest_handled && proposal.switch.fence >= self.fence && yes {
            self.on_proposal(now, proposal, out);
        }
        match &mut self.vote_count {
            Some(c) if c.proposal == proposal && yes => {
                c.yes_votes.insert(from);
            }
            Some(c) if c.proposal == proposal => c.refused = true,
            _ => self.answer_abort(from, proposal, out),
        }
    }

    /// Answers a vote on a switch that is not being counted with an abort, and makes sure that it
    /// will never be counted.
    fn answer_abort(&mut self, from: RankId, proposal: Proposal, out: &mut Actions) {
        self.highest_handled = self.highest_handled.max(proposal.switch);
        self.send_outcome(from, proposal, false, out);
    }

    fn send_outcome(&self, to: RankId, proposal: Proposal, commit: bool, out: &mut Actions) {
        let outcome = GroupMessage::Outcome { proposal, commit };
        out.push(RankAction::Send(Party::Rank(to), outcome));
    }

    /// Removes the vote of a rank that has restarted, since its new run does not know of it.
    pub(super) fn forget_vote(&mut self, rank: RankId) {
        if let Some(count) = &mut self.vote_count {
            count.yes_votes.remove(&rank);
        }
    }

    /// Decides once all ranks have voted yes, one has refused, or the deadline has passed.
    pub(super) fn count_votes(&mut self, now: Duration, out: &mut Actions) {
        let Some(vote_count) = &self.vote_count else {
            return;
        };
        let proposal = vote_count.proposal;
        let own = self.own_vote(&proposal);
        if vote_count.refused || own == Some(false) || now >= vote_count.deadline {
            let reason = if now >= vote_count.deadline {
                "vote_timeout"
            } else {
                "vote_refused"
            };
            counter!("oriole_group_switch_aborts_total", "reason" => reason).increment(1);
            self.decide(proposal, false, out);
        } else if own == Some(true) && vote_count.yes_votes.len() + 1 == self.ranks {
            self.decide(proposal, true, out);
        } else {
            self.resend_proposal(now, out);
        }
    }

    /// Sends the proposal to the ranks that have not voted, since it may not have reached them.
    fn resend_proposal(&mut self, now: Duration, out: &mut Actions) {
        let Some(vote_count) = &mut self.vote_count else {
            return;
        };
        if now < vote_count.last_asked_at + self.cfg.resend_interval {
            return;
        }
        vote_count.last_asked_at = now;
        for rank in (0..self.ranks as RankId).filter(|r| *r != self.own_rank) {
            if !vote_count.yes_votes.contains(&rank) {
                let message = GroupMessage::Propose(vote_count.proposal);
                out.push(RankAction::Send(Party::Rank(rank), message));
            }
        }
    }

    /// Handles a proposal sent by its closer.
    pub(super) fn on_forwarded_proposal(
        &mut self,
        now: Duration,
        proposal: Proposal,
        out: &mut Actions,
    ) {
        if self.synced && proposal.switch.fence >= self.fence {
            self.fence = proposal.switch.fence;
            self.on_proposal(now, proposal, out);
        }
    }

    /// The closer's own vote, or `None` while its engine has not confirmed the hold.
    fn own_vote(&self, proposal: &Proposal) -> Option<bool> {
        let undecided = self.undecided.filter(|u| u.proposal == *proposal);
        let (Some(undecided), Some(engine)) = (undecided, &self.engine) else {
            return Some(false);
        };
        if engine.run != undecided.engine_run {
            return Some(false);
        }
        undecided.voted_at.map(|_| true)
    }

    fn decide(&mut self, proposal: Proposal, commit: bool, out: &mut Actions) {
        self.vote_count = None;
        self.on_outcome(proposal, commit);
        self.broadcast_outcome(proposal, commit, out);
    }

    /// Sends the outcome to all other ranks and the coordinator.
    pub(super) fn broadcast_outcome(&self, proposal: Proposal, commit: bool, out: &mut Actions) {
        for rank in (0..self.ranks as RankId).filter(|r| *r != self.own_rank) {
            self.send_outcome(rank, proposal, commit, out);
        }
        let outcome = GroupMessage::Outcome { proposal, commit };
        let coordinator = Party::Coordinator(proposal.switch.fence);
        out.push(RankAction::Send(coordinator, outcome));
    }
}
