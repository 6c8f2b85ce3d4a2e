//! State of one process as a failure detector sees it.

use std::time::Duration;

use oriole_types::prelude::*;

use crate::config::MembershipConfig;
use crate::message::{Update, UpdateState, VmId};

/// Maximum number of earlier runs of a process that are kept, to recognise late updates about them.
const MAX_PAST_RUNS: usize = 4;

value_type! {
    /// Whether a process is available.
    pub enum Liveness {
        /// It answers.
        Alive,
        /// It did not answer a probe; it can still refute the suspicion.
        Suspect,
        /// It is dead or leaving, or it flaps.
        Away,
    }
}

/// State of one process in a detector.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of its VM.
    pub name: VmName,
    state: UpdateState,
    /// Current run of the process; `None` before the first update.
    run: Option<u64>,
    /// Number of the newest update within the run.
    counter: u32,
    /// Time at which the state began.
    state_since: Duration,
    /// Earlier runs, newest first.
    past_runs: Vec<u64>,
    /// Penalty for flapping, as of `penalty_at`.
    penalty: f64,
    penalty_at: Duration,
    /// Whether the process counts as away because of its penalty.
    suppressed: bool,
}

impl Member {
    /// Creates a process from the VM list; it counts as alive until it fails to answer.
    #[must_use]
    pub fn new(name: VmName, now: Duration) -> Self {
        Self {
            name,
            state: UpdateState::Alive,
            run: None,
            counter: 0,
            state_since: now,
            past_runs: Vec::new(),
            penalty: 0.0,
            penalty_at: now,
            suppressed: false,
        }
    }

    /// Applies an update; returns whether it was new and should be spread further.
    ///
    /// `direct` means that the process itself has just sent it.
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
        if !self.is_new(update, state, direct) {
            return false;
        }
        self.record_past_run(update.run);
        self.run = Some(update.run);
        self.counter = update.counter;
        self.set_state(now, state, cfg);
        true
    }

    /// Marks the process as suspect if it was alive; returns the update to spread.
    pub fn suspect(&mut self, now: Duration, cfg: &MembershipConfig) -> Option<Update> {
        if self.state != UpdateState::Alive {
            return None;
        }
        self.set_state(now, UpdateState::Suspect, cfg);
        Some(self.latest_update())
    }

    /// Declares a process dead that has been suspect for the timeout; returns the update to spread.
    pub fn expire_suspicion(
        &mut self,
        now: Duration,
        timeout: Duration,
        cfg: &MembershipConfig,
    ) -> Option<Update> {
        let overdue =
            self.state == UpdateState::Suspect && now.saturating_sub(self.state_since) >= timeout;
        if !overdue {
            return None;
        }
        self.set_state(now, UpdateState::Dead, cfg);
        Some(self.latest_update())
    }

    /// Restarts the timeout of a suspicion.
    pub fn restart_suspicion(&mut self, now: Duration) {
        self.state_since = now;
    }

    /// The newest update about the process.
    #[must_use]
    pub fn latest_update(&self) -> Update {
        Update {
            vm: VmId::from(&self.name).0,
            run: self.run.unwrap_or(0),
            counter: self.counter,
            state: self.state.into(),
        }
    }

    /// State without the effect of the penalty.
    #[must_use]
    pub fn state(&self) -> UpdateState {
        self.state
    }

    /// Whether the process is available, with the effect of the penalty.
    #[must_use]
    pub fn liveness(&self) -> Liveness {
        match self.state {
            UpdateState::Alive if self.suppressed => Liveness::Away,
            UpdateState::Alive => Liveness::Alive,
            UpdateState::Suspect => Liveness::Suspect,
            UpdateState::Dead | UpdateState::Leaving => Liveness::Away,
        }
    }

    /// Updates the decayed penalty and lifts the suppression; call it regularly.
    pub fn decay_penalty(&mut self, now: Duration, cfg: &MembershipConfig) {
        self.penalty = self.decayed_penalty(now, cfg);
        self.penalty_at = now;
        if self.penalty < cfg.reuse_threshold {
            self.suppressed = false;
        }
    }

    /// Whether an update supersedes the known state.
    ///
    /// Within a run, the higher counter wins, then the state of higher precedence. An update about
    /// another run must say that it is alive. It wins if the process itself sent it; one that others
    /// sent wins only if the known run is not alive and the other run is not a past one.
    fn is_new(&self, update: &Update, state: UpdateState, direct: bool) -> bool {
        let Some(run) = self.run else { return true };
        if run == update.run {
            return (update.counter, state) > (self.counter, self.state);
        }
        let is_past_run = self.past_runs.contains(&update.run);
        let is_not_alive = self.state != UpdateState::Alive;
        state == UpdateState::Alive && (direct || (is_not_alive && !is_past_run))
    }

    fn record_past_run(&mut self, new_run: u64) {
        let Some(run) = self.run.filter(|run| *run != new_run) else {
            return;
        };
        self.past_runs.retain(|r| *r != new_run);
        self.past_runs.insert(0, run);
        self.past_runs.truncate(MAX_PAST_RUNS);
    }

    /// Enters a state; a return from the dead adds to the penalty.
    fn set_state(&mut self, now: Duration, state: UpdateState, cfg: &MembershipConfig) {
        let returned = self.state == UpdateState::Dead && state == UpdateState::Alive;
        if returned {
            self.penalty = self.decayed_penalty(now, cfg) + 1.0;
            self.penalty_at = now;
            self.suppressed = self.suppressed || self.penalty > cfg.suppress_threshold;
        }
        if self.state != state {
            self.state_since = now;
        }
        self.state = state;
    }

    fn decayed_penalty(&self, now: Duration, cfg: &MembershipConfig) -> f64 {
        let age = now.saturating_sub(self.penalty_at).as_secs_f64();
        self.penalty * (-age / cfg.penalty_half_life.as_secs_f64()).exp2()
    }
}
