//! Settings of the [`Router`](super::Router).

use std::time::Duration;

/// Settings of a [`Router`](super::Router). The defaults suit requests that take from tens of
/// milliseconds to minutes.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Assumed round trip to another failure domain, used until it is measured.
    pub cross_domain_rtt: Duration,
    /// Service time assumed until one is measured or reported.
    pub assumed_service_time: Duration,
    /// Age at which a load report has half its weight in the estimate of the load.
    pub load_half_life: Duration,
    /// Age at which a measured service time has half its weight in the expected service time.
    pub service_time_half_life: Duration,
    /// Time between two probes of upstreams that seem full. Added to
    /// [`min_probe_interval`](Self::min_probe_interval) in proportion to the share of slots in use,
    /// up to the entry's even share of the pool; beyond it, the probes become rarer.
    pub probe_interval: Duration,
    /// Time between two probes for an entry without requests in flight. Also the age from which a
    /// load report is stale, so that the upstream may be probed.
    pub min_probe_interval: Duration,
    /// Requests that may wait at a warm upstream while high-priority requests are still sent there,
    /// as a fraction of the upstream's limit.
    pub high_waiting_share: f64,
    /// Same as [`high_waiting_share`](Self::high_waiting_share), for normal and low priority.
    pub default_waiting_share: f64,
    /// Time over which the share of an upstream that returned to service grows to its full size.
    pub slow_start: Duration,
    /// Load that all entries together send to an upstream in cold start even if others would
    /// finish sooner, as a fraction of its limit. Only serving requests makes an upstream warm.
    pub warming_load: f64,
    /// Seed of the times at which this entry warms upstreams. It must differ between entries, so
    /// that they don't warm the same upstream at the same time.
    pub warming_seed: u64,
    /// Time for which an upstream gets no requests after a refusal without a retry time.
    pub refusal_pause: Duration,
    /// Age at which a report that an upstream is leaving is ignored.
    pub leaving_ttl: Duration,
    /// Fraction of the service time that a cached prefix saves.
    pub prefix_saving: f64,
    /// Age at which a prefix is assumed to be still cached with half the probability.
    pub prefix_half_life: Duration,
    /// Most prefixes tracked for a pool.
    pub max_prefixes_per_pool: usize,
    /// Consecutive failures that eject an upstream.
    pub eject_after_failures: u32,
    /// Duration of the first ejection. It doubles with each consecutive ejection.
    pub initial_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Largest fraction of a pool's upstreams in service that may be ejected at the same time.
    pub max_ejected_share: f64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            cross_domain_rtt: Duration::from_millis(2),
            assumed_service_time: Duration::from_millis(500),
            load_half_life: Duration::from_millis(500),
            service_time_half_life: Duration::from_secs(2),
            probe_interval: Duration::from_millis(500),
            min_probe_interval: Duration::from_millis(25),
            high_waiting_share: 0.25,
            default_waiting_share: 0.1,
            slow_start: Duration::from_secs(10),
            warming_load: 1.0,
            warming_seed: 0,
            refusal_pause: Duration::from_millis(50),
            leaving_ttl: Duration::from_secs(10),
            prefix_saving: 0.3,
            prefix_half_life: Duration::from_secs(60),
            max_prefixes_per_pool: 4096,
            eject_after_failures: 3,
            initial_ejection: Duration::from_secs(3),
            max_ejection: Duration::from_secs(60),
            max_ejected_share: 0.5,
        }
    }
}
