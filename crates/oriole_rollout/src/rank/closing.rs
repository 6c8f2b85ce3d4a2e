//! Counting votes: what a rank does as the closer of a switch.

use std::collections::BTreeSet;
use std::time::Duration;

use metrics::counter;

use super::{Actions, RankAction, RankAgent};
use crate::messages::{GroupMessage, Party, Proposal, RankId};

/// A switch whose votes are being counted.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Closing {
    pub proposal: Proposal,
    yes: BTreeSet<RankId>,
    refused: bool,
    deadline: Duration,
    asked: Duration,
}

impl Closing {
    pub fn new(proposal: Proposal, now: Duration, deadline: Duration) -> Self {
        Self {
            proposal,
            yes: BTreeSet::new(),
            refused: false,
            deadline,
            asked: now,
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
        if !self.synced || proposal.closer != self.me {
            return;
        }
        if self.committed == Some(proposal) {
            return self.answer(from, proposal, true, out);
        }
        if proposal.switch > self.handled && proposal.switch.fence >= self.fence && yes {
            self.consider(now, proposal, out);
        }
        match &mut self.closing {
            Some(c) if c.proposal == proposal && yes => {
                c.yes.insert(from);
            }
            Some(c) if c.proposal == proposal => c.refused = true,
            _ => self.deny(from, proposal, out),
        }
    }

    /// Answers a vote on a switch that is not being counted: it never will be.
    fn deny(&mut self, from: RankId, proposal: Proposal, out: &mut Actions) {
        self.handled = self.handled.max(proposal.switch);
        self.answer(from, proposal, false, out);
    }

    fn answer(&self, to: RankId, proposal: Proposal, commit: bool, out: &mut Actions) {
        let outcome = GroupMessage::Outcome { proposal, commit };
        out.push(RankAction::Send(Party::Rank(to), outcome));
    }

    /// A rank that has started anew has not voted.
    pub(super) fn forget_vote(&mut self, rank: RankId) {
        if let Some(c) = &mut self.closing {
            c.yes.remove(&rank);
        }
    }

    /// Decides once all ranks have voted, one has refused, or time is up.
    pub(super) fn close(&mut self, now: Duration, out: &mut Actions) {
        let Some(closing) = &self.closing else { return };
        let proposal = closing.proposal;
        let own = self.own_vote(&proposal);
        if closing.refused || own == Some(false) || now >= closing.deadline {
            let reason = if now >= closing.deadline {
                "vote_timeout"
            } else {
                "vote_refused"
            };
            counter!("oriole_group_switch_aborts_total", "reason" => reason).increment(1);
            self.decide(proposal, false, out);
        } else if own == Some(true) && closing.yes.len() + 1 == self.ranks {
            self.decide(proposal, true, out);
        } else {
            self.ask_again(now, out);
        }
    }

    /// Asks the ranks that have not voted: the proposal may not have reached them.
    fn ask_again(&mut self, now: Duration, out: &mut Actions) {
        let Some(closing) = &mut self.closing else {
            return;
        };
        if now < closing.asked + self.cfg.resend_interval {
            return;
        }
        closing.asked = now;
        for rank in (0..self.ranks as RankId).filter(|r| *r != self.me) {
            if !closing.yes.contains(&rank) {
                let message = GroupMessage::Propose(closing.proposal);
                out.push(RankAction::Send(Party::Rank(rank), message));
            }
        }
    }

    /// Takes in a proposal that its closer passes on.
    pub(super) fn on_asked(&mut self, now: Duration, proposal: Proposal, out: &mut Actions) {
        if self.synced && proposal.switch.fence >= self.fence {
            self.fence = proposal.switch.fence;
            self.consider(now, proposal, out);
        }
    }

    /// The closer's own vote, or `None` while its engine does not hold yet.
    fn own_vote(&self, proposal: &Proposal) -> Option<bool> {
        let undecided = self.undecided.filter(|u| u.proposal == *proposal);
        let (Some(undecided), Some(engine)) = (undecided, &self.engine) else {
            return Some(false);
        };
        if engine.run != undecided.run {
            return Some(false);
        }
        undecided.voted.map(|_| true)
    }

    fn decide(&mut self, proposal: Proposal, commit: bool, out: &mut Actions) {
        self.closing = None;
        self.on_outcome(proposal, commit);
        self.announce(proposal, commit, out);
    }

    pub(super) fn announce(&self, proposal: Proposal, commit: bool, out: &mut Actions) {
        for rank in (0..self.ranks as RankId).filter(|r| *r != self.me) {
            self.answer(rank, proposal, commit, out);
        }
        let outcome = GroupMessage::Outcome { proposal, commit };
        let coordinator = Party::Coordinator(proposal.switch.fence);
        out.push(RankAction::Send(coordinator, outcome));
    }
}
