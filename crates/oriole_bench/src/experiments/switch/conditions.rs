//! Conditions under which switches are measured, and what is counted.

use super::timeline::Ms;

/// One way between two agents, least and most, in milliseconds.
pub const NETWORK_DELAY_MS: std::ops::RangeInclusive<Ms> = 1..=2;
/// One way between an agent and its engine, in milliseconds.
pub const ENGINE_DELAY_MS: Ms = 1;
/// Length of a step, in milliseconds.
pub const STEP_INTERVAL_MS: Ms = 40;
/// Interval of the agents' ticks, in milliseconds.
pub const TICK_INTERVAL_MS: Ms = 50;
/// Time ahead at which a switch is to come into force, in milliseconds.
pub const SWITCH_LEAD_MS: Ms = 400;
/// Time that reading weights in the background takes, in milliseconds.
pub const LOAD_MS: Ms = 100;

/// What goes wrong during a switch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// Probability that a message between agents is lost.
    pub loss: f64,
    /// Whether the coordinator dies right after it has proposed.
    pub coordinator_crashes: bool,
    /// Time for which the store is down from the proposal on, in milliseconds.
    pub store_outage_ms: Ms,
    /// Rank whose agent is stalled from the proposal on, and for how long.
    pub stalled_agent: Option<(usize, Ms)>,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    /// Switches that were begun.
    pub switches: u64,
    /// Switches that came into force on all ranks.
    pub committed: u64,
    /// Steps in which ranks used different maps.
    pub mixed_steps: u64,
    /// Steps that could have run in the time in which all ranks had to wait.
    pub stalled_steps: u64,
    /// Messages between agents and coordinator.
    pub messages: u64,
    /// Writes at the store.
    pub store_writes: u64,
    /// Reads at the store.
    pub store_reads: u64,
    /// Time from the proposal until all ranks knew the outcome, in milliseconds.
    pub settle_ms: u64,
}

impl Costs {
    /// A figure per switch.
    pub fn per_switch(&self, total: u64) -> f64 {
        total as f64 / self.switches.max(1) as f64
    }
}
