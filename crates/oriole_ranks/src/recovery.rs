//! Completes a map switch whose leader froze or crashed while it held a pass.
//!
//! A hold does not expire, so the group would stall until the leader returns. An agent whose engine
//! has stalled reads the reports of all engines and continues the switch as the leader would: it
//! arms every rank, then releases the pass. The leader and several agents may do so at the same
//! time, since they send the same orders. A held pass is never released before all ranks are armed.

use std::time::Duration;

use oriole_fleet::prelude::*;

/// Time without a new pass after which the agent of rank 1 starts recovery: twice the longest pause
/// between events that callers accept as on time.
const STALL_TIMEOUT: Duration = Duration::from_millis(240);

/// Additional time for each higher rank, so that only one agent acts at a time.
const STALL_TIMEOUT_PER_RANK: Duration = Duration::from_millis(200);

/// Highest rank whose agent starts recovery. More agents would only call the same engines.
const MAX_RECOVERY_RANK: usize = 4;

/// Time between two recovery attempts of an agent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Detects that the agent's own engine has stalled during a map switch.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// Epoch and pass of the last report.
    pass: Option<(u64, u64)>,
    last_progress_at: Duration,
    last_check_at: Option<Duration>,
}

impl StallDetector {
    /// Takes a report of the agent's engine. Returns whether the agent should start recovery now.
    pub fn is_due(&mut self, now: Duration, report: &EngineReport) -> bool {
        let pass = Some((report.epoch, report.pass));
        let is_switching = report.armed_version.is_some() || report.prepared_version.is_some();
        if self.pass != pass
            || !is_switching
            || report.running_requests == 0
            || !report.group_running
        {
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

/// Next step to recover a stalled map switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// There is nothing to recover, for the given reason.
    Nothing(&'static str),
    /// Arm the ranks that are not armed yet.
    Arm {
        /// Version of the map, which all ranks have prepared.
        version: u64,
        /// Pass that is held.
        pass: u64,
        /// Ranks that are not armed yet.
        ranks: Vec<usize>,
    },
    /// Release the held pass, since all ranks are armed.
    Go {
        /// Pass that is held.
        pass: u64,
    },
}

/// Chooses the next step from the reports of all engines, by rank, read while the group is stalled.
#[must_use]
pub fn next_step(reports: &[EngineReport]) -> RecoveryStep {
    let Some(first) = reports.first() else {
        return RecoveryStep::Nothing("no engine");
    };
    let Some(pass) = first.held_pass.filter(|p| *p > first.pass) else {
        return RecoveryStep::Nothing("no pass is held");
    };
    let Some(version) = first.armed_version.or(first.prepared_version) else {
        return RecoveryStep::Nothing("nothing is prepared");
    };
    let is_ready = |r: &EngineReport| {
        r.epoch == first.epoch
            && r.group_running
            && r.armed_version.or(r.prepared_version) == Some(version)
    };
    if reports.len() != first.ranks || !reports.iter().all(is_ready) {
        return RecoveryStep::Nothing("not prepared everywhere");
    }
    let ranks: Vec<usize> = reports
        .iter()
        .enumerate()
        .filter(|(_, r)| r.armed_version != Some(version))
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
