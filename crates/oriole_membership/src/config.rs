//! Settings of membership.

use std::time::Duration;

/// Settings of a [`Detector`](crate::detector::Detector); the same in every process of a failure
/// domain.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between two probes that a process sends.
    pub probe_period: Duration,
    /// Time for a direct answer to a probe, before others are asked to probe as well.
    pub direct_timeout: Duration,
    /// Number of processes that are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Time that a suspected process has to refute.
    pub suspicion_timeout: Duration,
    /// Most updates in one message.
    pub updates_per_message: usize,
    /// Each update is sent so many times the logarithm of the failure domain's size.
    pub update_retransmit_factor: f64,
    /// Time in which the penalty of a process that came and went halves.
    pub penalty_half_life: Duration,
    /// Penalty from which a process counts as away although it answers; each return adds one.
    pub suppress_threshold: f64,
    /// Penalty below which it counts as present again.
    pub reuse_threshold: f64,
    /// Probes without any answer from anyone after which a process takes itself for cut off and
    /// declares nobody dead.
    pub isolated_after_probes: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            updates_per_message: 8,
            update_retransmit_factor: 3.0,
            penalty_half_life: Duration::from_secs(60),
            suppress_threshold: 2.0,
            reuse_threshold: 1.0,
            isolated_after_probes: 3,
        }
    }
}
