//! What is known of one process.

use std::time::Duration;

use oriole_types::prelude::*;

use crate::config::MembershipConfig;
use crate::message::{Update, UpdateState, VmId};

/// Earlier runs of a process that are remembered, so that late news of them is recognised.
const RETIRED_RUNS: usize = 4;

value_type! {
    /// Whether a process can be counted on.
    pub enum Liveness {
        /// It answers.
        Alive,
        /// It did not answer; it may still refute.
        Suspect,
        /// It is gone, leaving, or comes and goes too often.
        Away,
    }
}

/// What one detector knows of one process.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of its VM.
    pub name: VmName,
    state: UpdateState,
    run: Option<u64>,
    counter: u32,
    since: Duration,
    retired: Vec<u64>,
    penalty: f64,
    penalty_at: Duration,
    suppressed: bool,
}

impl Member {
    /// A process that the VM list shows; it counts as alive until it fails to answer.
    #[must_use]
    pub fn new(name: VmName, now: Duration) -> Self {
        Self {
            name,
            state: UpdateState::Alive,
            run: None,
            counter: 0,
            since: now,
            retired: Vec::new(),
            penalty: 0.0,
            penalty_at: now,
            suppressed: false,
        }
    }

    /// Takes in news; returns whether it changed anything, so that it should be passed on.
    ///
    /// `direct` is news that the process itself sent just now.
    pub fn apply(
        &mut self,
        now: Duration,
        update: &Update,
        direct: bool,
        cfg: &MembershipConfig,
    ) -> bool {
        let Ok(state) = UpdateState::try_from(update.state) else {
            return false;
        };
        if !self.is_news(update, state, direct) {
            return false;
        }
        self.retire_run(update.run);
        self.run = Some(update.run);
        self.counter = update.counter;
        self.enter(now, state, cfg);
        true
    }

    /// Suspects the process; returns the news to spread if it was alive.
    pub fn suspect(&mut self, now: Duration, cfg: &MembershipConfig) -> Option<Update> {
        if self.state != UpdateState::Alive {
            return None;
        }
        self.enter(now, UpdateState::Suspect, cfg);
        Some(self.news())
    }

    /// Declares a suspected process dead after its time to refute; returns the news to spread.
    pub fn give_up(
        &mut self,
        now: Duration,
        suspicion: Duration,
        cfg: &MembershipConfig,
    ) -> Option<Update> {
        let overdue =
            self.state == UpdateState::Suspect && now.saturating_sub(self.since) >= suspicion;
        if !overdue {
            return None;
        }
        self.enter(now, UpdateState::Dead, cfg);
        Some(self.news())
    }

    /// Gives a suspected process its time to refute afresh.
    pub fn restart_suspicion(&mut self, now: Duration) {
        self.since = now;
    }

    /// The newest news about the process.
    #[must_use]
    pub fn news(&self) -> Update {
        Update {
            vm: VmId::from(&self.name).0,
            run: self.run.unwrap_or(0),
            counter: self.counter,
            state: self.state.into(),
        }
    }

    /// State as it is spread.
    #[must_use]
    pub fn state(&self) -> UpdateState {
        self.state
    }

    /// Whether the process can be counted on.
    #[must_use]
    pub fn liveness(&self) -> Liveness {
        match self.state {
            UpdateState::Alive if self.suppressed => Liveness::Away,
            UpdateState::Alive => Liveness::Alive,
            UpdateState::Suspect => Liveness::Suspect,
            UpdateState::Dead | UpdateState::Leaving => Liveness::Away,
        }
    }

    /// Lets the penalty fade; call it every period.
    pub fn fade(&mut self, now: Duration, cfg: &MembershipConfig) {
        self.penalty = self.faded_penalty(now, cfg);
        self.penalty_at = now;
        if self.penalty < cfg.reuse_threshold {
            self.suppressed = false;
        }
    }

    /// Whether news counts against what is known. Of the same run, the higher number does, then
    /// the graver state. Of another run, what the process says itself does; what others say does
    /// only if the known run is not alive and the other is not known to be over.
    fn is_news(&self, update: &Update, state: UpdateState, direct: bool) -> bool {
        let Some(run) = self.run else { return true };
        if run == update.run {
            return (update.counter, state) > (self.counter, self.state);
        }
        let over = self.retired.contains(&update.run);
        let known_gone = self.state != UpdateState::Alive;
        state == UpdateState::Alive && (direct || (known_gone && !over))
    }

    fn retire_run(&mut self, new_run: u64) {
        let Some(run) = self.run.filter(|run| *run != new_run) else {
            return;
        };
        self.retired.retain(|r| *r != new_run);
        self.retired.insert(0, run);
        self.retired.truncate(RETIRED_RUNS);
    }

    fn enter(&mut self, now: Duration, state: UpdateState, cfg: &MembershipConfig) {
        let returned = self.state == UpdateState::Dead && state == UpdateState::Alive;
        if returned {
            self.penalty = self.faded_penalty(now, cfg) + 1.0;
            self.penalty_at = now;
            self.suppressed = self.suppressed || self.penalty > cfg.suppress_threshold;
        }
        if self.state != state {
            self.since = now;
        }
        self.state = state;
    }

    fn faded_penalty(&self, now: Duration, cfg: &MembershipConfig) -> f64 {
        let age = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * (-age / cfg.penalty_half_life.as_secs_f64()).exp2()
    }
}
