//! Completes a stalled map switch by calling all engines of the group.

use metrics::counter;
use oriole_fleet::prelude::*;
use slog::{info, warn};

use super::{Agent, lock};
use crate::recovery::{self, RecoveryStep};

/// Maximum number of rounds in one recovery attempt: one to arm the ranks, one to release the pass
/// once all are armed, and one more in case an answer is lost.
const MAX_RECOVERY_ROUNDS: usize = 3;

impl Agent {
    /// Continues a switch whose leader is silent while a pass is held.
    pub(super) async fn recover_stalled_switch(&self, own_report: &EngineReport) {
        let engines: Option<Vec<_>> = {
            let shared = lock(&self.shared);
            let addresses = (0..own_report.ranks).map(|r| shared.engine_addresses.get(&r).copied());
            addresses
                .map(|a| a.map(&self.parts.connect_engine))
                .collect()
        };
        let Some(engines) = engines else {
            warn!(self.log, "rescue"; "outcome" => "addresses are missing");
            return;
        };
        for _ in 0..MAX_RECOVERY_ROUNDS {
            let mut reports = Vec::with_capacity(engines.len());
            for engine in &engines {
                match engine.report().await {
                    Ok(report) => reports.push(report),
                    Err(e) => {
                        warn!(self.log, "rescue"; "outcome" => "an engine is silent",
                            "rank" => reports.len(), "error" => e.to_string());
                        return;
                    }
                }
            }
            let step = recovery::next_step(&reports);
            info!(self.log, "rescue"; "outcome" => format!("{step:?}"), "pass" => own_report.pass,
                "epoch" => own_report.epoch);
            counter!("oriole_rescues_total").increment(1);
            match step {
                RecoveryStep::Nothing(_) => return,
                RecoveryStep::Arm {
                    version,
                    pass,
                    ranks,
                } => {
                    let order = EngineOrder::Arm { version, pass };
                    for rank in ranks {
                        self.send_order(engines[rank].as_ref(), own_report.epoch, &order)
                            .await;
                    }
                }
                RecoveryStep::Go { pass } => {
                    let order = EngineOrder::Go { pass };
                    self.send_order(engines[0].as_ref(), own_report.epoch, &order)
                        .await;
                    return;
                }
            }
        }
    }
}
