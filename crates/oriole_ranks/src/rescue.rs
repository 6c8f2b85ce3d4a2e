//! Lets a held group go on when the agent that leads it sleeps or is gone.
//!
//! A hold does not expire. An agent whose engine stands still reads all engines itself and takes the
//! leader's change forward, as the leader would: arm every rank, then let the pass go. Both may do so
//! at the same time, since they give the same orders. A hold is never let go before all are armed.

use std::time::Duration;

use oriole_fleet::prelude::*;

/// Time without a pass after which the agent of rank 1 looks: twice the longest pause that callers
/// take as on time.
const STILL_FOR: Duration = Duration::from_millis(240);

/// Further time for each higher rank, so that one agent acts at a time.
const STILL_EACH_RANK: Duration = Duration::from_millis(200);

/// Ranks whose agents look; more would only call the same engines.
const LOOKING_RANKS: usize = 4;

/// Time between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// Notices that the agent's own engine stands still with a change prepared.
#[derive(Debug, Default)]
pub struct StillWatch {
    pass: Option<(u64, u64)>,
    since: Duration,
    looked_at: Option<Duration>,
}

impl StillWatch {
    /// Whether the agent should look at all engines now.
    pub fn is_due(&mut self, now: Duration, report: &EngineReport) -> bool {
        let pass = Some((report.epoch, report.pass));
        let has_change = report.armed_version.is_some() || report.prepared_version.is_some();
        if self.pass != pass || !has_change || report.running_requests == 0 || !report.group_running
        {
            self.pass = pass;
            self.since = now;
            return false;
        }
        if report.rank == 0 || report.rank > LOOKING_RANKS {
            return false;
        }
        let still_for = STILL_FOR + STILL_EACH_RANK * (report.rank as u32 - 1);
        let is_due =
            now >= self.since + still_for && self.looked_at.is_none_or(|at| now >= at + LOOK_AGAIN);
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }
}

/// What to do about a group that stands still.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RescueStep {
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
pub fn next_step(reports: &[EngineReport]) -> RescueStep {
    let Some(first) = reports.first() else {
        return RescueStep::Nothing("no engine");
    };
    let Some(pass) = first.held_pass.filter(|p| *p > first.pass) else {
        return RescueStep::Nothing("no pass is held");
    };
    let Some(version) = first.armed_version.or(first.prepared_version) else {
        return RescueStep::Nothing("nothing is prepared");
    };
    let is_ready = |r: &EngineReport| {
        r.epoch == first.epoch
            && r.group_running
            && r.armed_version.or(r.prepared_version) == Some(version)
    };
    if reports.len() != first.ranks || !reports.iter().all(is_ready) {
        return RescueStep::Nothing("not prepared everywhere");
    }
    let ranks: Vec<usize> = reports
        .iter()
        .enumerate()
        .filter(|(_, r)| r.armed_version != Some(version))
        .map(|(rank, _)| rank)
        .collect();
    if ranks.is_empty() {
        RescueStep::Go { pass }
    } else {
        RescueStep::Arm {
            version,
            pass,
            ranks,
        }
    }
}
