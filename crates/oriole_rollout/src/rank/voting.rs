//! Weighing proposals and voting on them.

use std::time::Duration;

use metrics::counter;

use super::closing::Closing;
use super::{Actions, RankAction, RankAgent, Undecided};
use crate::messages::{GroupMessage, Party, Proposal};

impl RankAgent {
    /// Weighs a proposal: what it can vote for becomes undecided, all else is refused at once.
    pub(super) fn consider(&mut self, now: Duration, proposal: Proposal, out: &mut Actions) {
        let known = self.undecided.is_some_and(|u| u.proposal == proposal);
        if known || proposal.switch <= self.handled || usize::from(proposal.closer) >= self.ranks {
            return;
        }
        if self.undecided.is_some() {
            return;
        }
        self.handled = proposal.switch;
        let run = self.engine.as_ref().map(|e| e.run);
        match run.filter(|_| self.can_use(&proposal)) {
            Some(run) => {
                self.undecided = Some(Undecided {
                    proposal,
                    voted: None,
                    run,
                });
                if proposal.closer == self.me {
                    self.closing = Some(Closing::new(proposal, now, now + self.cfg.vote_timeout));
                }
            }
            None => self.refuse(proposal, "not_ready", out),
        }
    }

    /// Whether the engine can change from the proposal's base to its next map. A proposal without
    /// a base is for engines that use no map, whatever was decided before: when all of them vote
    /// for it, nothing is left of the map that was in force.
    fn can_use(&self, p: &Proposal) -> bool {
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
        if proposal.closer == self.me {
            self.announce(proposal, false, out);
        } else {
            let vote = GroupMessage::Vote {
                proposal,
                yes: false,
            };
            out.push(RankAction::Send(Party::Rank(proposal.closer), vote));
        }
    }

    /// Votes once the engine holds and no order is on its way that could lift the hold; refuses if
    /// the engine has passed the step or has been restarted.
    pub(super) fn vote(&mut self, now: Duration, out: &mut Actions) {
        let (Some(mut undecided), Some(engine)) = (self.undecided, &self.engine) else {
            return;
        };
        let p = undecided.proposal;
        let holds = engine.hold.is_some_and(|h| h.switch == p.switch);
        let ready = holds && engine.run == undecided.run && !self.steering.is_waiting();
        let lost = engine.run != undecided.run || engine.next_step > p.at_step;
        if undecided.voted.is_none() && !ready {
            if lost {
                self.undecided = None;
                self.closing.take_if(|c| c.proposal == p);
                self.refuse(p, "step_passed", out);
            }
            return;
        }
        let due = undecided
            .voted
            .is_none_or(|at| now >= at + self.cfg.resend_interval);
        if due {
            undecided.voted = Some(now);
            self.undecided = Some(undecided);
            if p.closer != self.me {
                let vote = GroupMessage::Vote {
                    proposal: p,
                    yes: true,
                };
                out.push(RankAction::Send(Party::Rank(p.closer), vote));
            }
        }
    }
}
