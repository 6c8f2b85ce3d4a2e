//! Checking proposals and voting on them.

use std::time::Duration;

use metrics::counter;

use super::vote_count::VoteCount;
use super::{Actions, RankAction, RankAgent, Undecided};
use crate::messages::{GroupMessage, Party, Proposal};

impl RankAgent {
    /// Handles a new proposal: one that the rank can vote for becomes undecided, any other is
    /// refused at once. Proposals that are not new, or that arrive while another is undecided, are
    /// ignored.
    pub(super) fn on_proposal(&mut self, now: Duration, proposal: Proposal, out: &mut Actions) {
        let is_known = self.undecided.is_some_and(|u| u.proposal == proposal);
        if is_known
            || proposal.switch <= self.highest_handled
            || usize::from(proposal.closer) >= self.ranks
        {
            return;
        }
        if self.undecided.is_some() {
            return;
        }
        self.highest_handled = proposal.switch;
        let engine_run = self.engine.as_ref().map(|e| e.run);
        match engine_run.filter(|_| self.can_switch(&proposal)) {
            Some(engine_run) => {
                self.undecided = Some(Undecided {
                    proposal,
                    voted_at: None,
                    engine_run,
                });
                if proposal.closer == self.own_rank {
                    self.vote_count =
                        Some(VoteCount::new(proposal, now, now + self.cfg.vote_timeout));
                }
            }
            None => self.refuse(proposal, "not_ready", out),
        }
    }

    /// Whether the engine can change from the proposal's base to its next map. A proposal without a
    /// base is for engines that use no map, whatever was committed before: if all of them vote for
    /// it, no engine uses the map that was in force any more.
    fn can_switch(&self, p: &Proposal) -> bool {
        let in_force = self.committed.map(|c| c.next);
        let newer = in_force.is_none_or(|id| p.next.version > id.version);
        self.engine.as_ref().is_some_and(|e| {
            e.active == p.base
                && e.armed.is_none()
                && e.staged.contains(&p.next)
                && (in_force == p.base || p.base.is_none())
                && newer
        })
    }

    fn refuse(&mut self, proposal: Proposal, reason: &'static str, out: &mut Actions) {
        counter!("oriole_group_refusals_total", "reason" => reason).increment(1);
        if proposal.closer == self.own_rank {
            self.broadcast_outcome(proposal, false, out);
        } else {
            let vote = GroupMessage::Vote {
                proposal,
                yes: false,
            };
            out.push(RankAction::Send(Party::Rank(proposal.closer), vote));
        }
    }

    /// Votes once the engine has confirmed the hold and no unanswered order could lift it; refuses
    /// if the engine has passed the step or was restarted.
    pub(super) fn advance_vote(&mut self, now: Duration, out: &mut Actions) {
        let (Some(mut undecided), Some(engine)) = (self.undecided, &self.engine) else {
            return;
        };
        let p = undecided.proposal;
        let holds = engine.hold.is_some_and(|h| h.switch == p.switch);
        let ready = holds
            && engine.run == undecided.engine_run
            && !self.order_tracker.has_order_in_flight();
        let can_no_longer_hold = engine.run != undecided.engine_run || engine.next_step > p.at_step;
        if undecided.voted_at.is_none() && !ready {
            if can_no_longer_hold {
                self.undecided = None;
                self.vote_count.take_if(|c| c.proposal == p);
                self.refuse(p, "step_passed", out);
            }
            return;
        }
        let due = undecided
            .voted_at
            .is_none_or(|at| now >= at + self.cfg.resend_interval);
        if due {
            undecided.voted_at = Some(now);
            self.undecided = Some(undecided);
            if p.closer != self.own_rank {
                let vote = GroupMessage::Vote {
                    proposal: p,
                    yes: true,
                };
                out.push(RankAction::Send(Party::Rank(p.closer), vote));
            }
        }
    }
}
