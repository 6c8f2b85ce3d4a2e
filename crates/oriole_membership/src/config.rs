//! Settings of the failure detector.

use std::time::Duration;

/// Settings of a [`Detector`](crate::detector::Detector). They must be the same in every process of
/// a failure domain.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Time between two probes that a process sends.
    pub probe_period: Duration,
    /// Time to wait for the answer to a probe before other processes are asked to probe the target.
    pub direct_timeout: Duration,
    /// Number of processes that are asked to probe a target that did not answer.
    pub indirect_probes: usize,
    /// Time in which a suspected process can refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Maximum number of updates in one message.
    pub updates_per_message: usize,
    /// Each update is sent this many times the base-2 logarithm of the failure domain's size.
    pub update_retransmit_factor: f64,
    /// Half-life of the penalty that a process gets when it returns from the dead.
    pub penalty_half_life: Duration,
    /// Penalty above which a process counts as away although it answers; each return adds 1.
    pub suppress_threshold: f64,
    /// Penalty below which a suppressed process counts as alive again.
    pub reuse_threshold: f64,
    /// Unanswered probes in a row, with no answer from any process, after which this process assumes
    /// that it is isolated itself and declares no other process dead.
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
