//! Lets a held group go on when the agent that leads it sleeps or is gone.
//!
//! A hold does not expire. An agent whose engine stands still reads all engines itself and takes the
//! leader's change forward, as the leader would: arm every rank, then let the pass go. Both may do so
//! at the same time, since they give the same orders. A hold is never let go before all are armed.

use std::time::Duration;

use oriole_fleet::prelude::*;

/// Time without a pass after which the agent of rank 1 looks: twice the longest pause that callers
/// take as on time.
const STALL_TIMEOUT: Duration = Duration::from_millis(240);

/// Further time for each higher rank, so that one agent acts at a time.
const STALL_TIMEOUT_PER_RANK: Duration = Duration::from_millis(200);

/// Ranks whose agents look; more would only call the same engines.
const MAX_RECOVERY_RANK: usize = 4;

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Notices that the agent's own engine stands still with a change prepared.
#[derive(Debug, Default)]
pub struct StallDetector {
    pass: Option<(u64, u64)>,
    last_progress_at: Duration,
    last_check_at: Option<Duration>,
}

impl StallDetector {
    /// Whether the agent should look at all engines now.
    pub fn is_due(&mut self, now: Duration, report: &EngineReport) -> bool {
        let pass = Some((report.epoch, report.pass));
        let is_switching = report.armed.is_some() || report.prepared.is_some();
        if self.pass != pass || !is_switching || report.running == 0 || !report.open {
            self.pass = pass;
            self.last_progress_at = now;
            return false;
        }
        if report.rank == 0 || report.rank > MAX_RECOVERY_RANK {
            return false;
        }
        let stall_timeout = STALL_TIMEOUT + STALL_TIMEOUT_PER_RANK * (report.rank as u32 - 1);
        let is_due = now >= self.last_progress_at + stall_timeout
            && self
                .last_check_at
                .is_none_or(|at| now >= at + CHECK_INTERVAL);
        if is_due {
            self.last_check_at = Some(now);
        }
        is_due
    }
}

/// What to do about a group that stands still.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Nothing: no pass is held, or the change is not prepared everywhere.
    Nothing(&'static str),
    /// Arm the ranks that are not.
    Arm {
        /// Version that all have prepared.
        version: u64,
        /// Pass that is held.
        pass: u64,
        /// Ranks.
        ranks: Vec<usize>,
    },
    /// All are armed: let the pass begin.
    Go {
        /// Pass.
        pass: u64,
    },
}

/// Decides from the reports of all engines, by rank, read while the group stood still.
#[must_use]
pub fn next_step(reports: &[EngineReport]) -> RecoveryStep {
    let Some(first) = reports.first() else {
        return RecoveryStep::Nothing("no engine");
    };
    let Some(pass) = first.held.filter(|p| *p > first.pass) else {
        return RecoveryStep::Nothing("no pass is held");
    };
    let Some(version) = first.armed.or(first.prepared) else {
        return RecoveryStep::Nothing("nothing is prepared");
    };
    let is_ready = |r: &EngineReport| {
        r.epoch == first.epoch && r.open && r.armed.or(r.prepared) == Some(version)
    };
    if reports.len() != first.ranks || !reports.iter().all(is_ready) {
        return RecoveryStep::Nothing("not prepared everywhere");
    }
    let ranks: Vec<usize> = reports
        .iter()
        .enumerate()
        .filter(|(_, r)| r.armed != Some(version))
        .map(|(rank, _)| rank)
        .collect();
    if ranks.is_empty() {
        RecoveryStep::Go { pass }
    } else {
        RecoveryStep::Arm {
            version,
            pass,
            ranks,
        }
    }
}
