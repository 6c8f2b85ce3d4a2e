//! Conditions under which switches are measured, and their costs.

use super::timeline::Ms;

/// Range of the one-way delay between two agents, in milliseconds.
pub const NETWORK_DELAY_MS: std::ops::RangeInclusive<Ms> = 1..=2;
/// One-way delay between an agent and its engine, in milliseconds.
pub const ENGINE_DELAY_MS: Ms = 1;
/// Length of a step, in milliseconds.
pub const STEP_INTERVAL_MS: Ms = 40;
/// Interval of the agents' ticks, in milliseconds.
pub const TICK_INTERVAL_MS: Ms = 50;
/// Time from the proposal of a switch until it takes effect, in milliseconds.
pub const SWITCH_LEAD_MS: Ms = 400;
/// Time to load weights in the background, in milliseconds.
pub const WEIGHT_LOAD_MS: Ms = 100;

/// Faults during a switch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// Probability that a message between agents is lost.
    pub loss: f64,
    /// Whether the coordinator crashes right after its proposal.
    pub coordinator_crashes: bool,
    /// Length of a store outage that starts at the proposal, in milliseconds.
    pub store_outage_ms: Ms,
    /// Rank whose agent stalls at the proposal, and for how many milliseconds.
    pub stalled_agent: Option<(usize, Ms)>,
}

/// Costs of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Switches that were started.
    pub switches: u64,
    /// Switches that came into force on all ranks.
    pub committed: u64,
    /// Steps in which ranks used different maps.
    pub mixed_steps: u64,
    /// Steps that could have run in the time in which ranks had to wait.
    pub stalled_steps: u64,
    /// Messages between agents and coordinator.
    pub messages: u64,
    /// Store writes.
    pub store_writes: u64,
    /// Store reads.
    pub store_reads: u64,
    /// Time from the proposal until all ranks knew the outcome, in milliseconds.
    pub settle_ms: u64,
}

impl Costs {
    /// Returns the mean of a total per switch.
    pub fn per_switch(&self, total: u64) -> f64 {
        total as f64 / self.switches.max(1) as f64
    }
}
