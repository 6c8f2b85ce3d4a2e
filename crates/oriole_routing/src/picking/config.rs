//! Settings of the [`Router`](super::Router).

use std::time::Duration;

/// Settings of a [`Router`](super::Router); the defaults suit requests of tens of milliseconds to
/// minutes.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Round trip to another failure domain whose distance was never measured.
    pub cross_domain_rtt: Duration,
    /// Service time assumed of an upstream that nothing is known of.
    pub assumed_service: Duration,
    /// Age at which a load report is believed half.
    pub load_half_life: Duration,
    /// Age at which a measured service time is believed by half.
    pub service_half_life: Duration,
    /// Time between two tries of upstreams that seem full, by an entry that holds its even part
    /// of the pool's slots; also the age from which a load report may be doubted.
    pub probe_after: Duration,
    /// The same by an entry that holds none.
    pub probe_min: Duration,
    /// Requests that may wait at a warm upstream as a part of its limit, high ones included, for
    /// another high one to be sent there.
    pub high_waiting: f64,
    /// The same for one that is not high.
    pub usual_waiting: f64,
    /// Time over which an upstream that returned regains its full share.
    pub slow_start: Duration,
    /// Part of what an upstream in cold start bears that the entries together send there although
    /// others would finish sooner: only work makes it warm.
    pub warming_load: f64,
    /// A number that differs between entries, so that they do not warm the same upstream at the
    /// same moment.
    pub warming_seed: u64,
    /// Time for which an upstream is left alone after it refused without saying how long.
    pub hold_after_refusal: Duration,
    /// Time after which an agent's word that it is leaving is checked again.
    pub leaving_ttl: Duration,
    /// Part of the service time that a held prefix saves.
    pub prefix_saving: f64,
    /// Age at which a prefix guess is believed half.
    pub prefix_half_life: Duration,
    /// Most prefixes remembered for a pool.
    pub prefixes_per_pool: usize,
    /// Failures in a row that eject an upstream.
    pub eject_after_failures: u32,
    /// Time for which an upstream is ejected at first; doubles with each ejection in a row.
    pub eject_for: Duration,
    /// Longest ejection.
    pub eject_for_max: Duration,
    /// Largest part of a pool's upstreams that may be ejected at once.
    pub max_ejected_share: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            cross_domain_rtt: Duration::from_millis(2),
            assumed_service: Duration::from_millis(500),
            load_half_life: Duration::from_millis(500),
            service_half_life: Duration::from_secs(2),
            probe_after: Duration::from_millis(500),
            probe_min: Duration::from_millis(25),
            high_waiting: 0.25,
            usual_waiting: 0.1,
            slow_start: Duration::from_secs(10),
            warming_load: 1.0,
            warming_seed: 0,
            hold_after_refusal: Duration::from_millis(50),
            leaving_ttl: Duration::from_secs(10),
            prefix_saving: 0.3,
            prefix_half_life: Duration::from_secs(60),
            prefixes_per_pool: 4096,
            eject_after_failures: 3,
            eject_for: Duration::from_secs(3),
            eject_for_max: Duration::from_secs(60),
            max_ejected_share: 0.5,
        }
    }
}
