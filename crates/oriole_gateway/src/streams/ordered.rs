//! Determines the ordered services of a configuration.

use std::collections::HashMap;
use std::time::Duration;

use oriole_fleet::prelude::*;

/// The services whose stream routes have at least two priorities and a target gap, with the smallest
/// gap.
#[must_use]
pub fn ordered_services(cfg: &Configuration) -> HashMap<String, Duration> {
    let mut seen: HashMap<&str, (Vec<u8>, Option<Duration>)> = HashMap::new();
    let streams = cfg.routes.iter().filter(|r| r.kind == RouteKind::Stream);
    for route in streams {
        for share in &route.services {
            let (priorities, gap) = seen.entry(share.service.as_str()).or_default();
            if !priorities.contains(&route.priority) {
                priorities.push(route.priority);
            }
            *gap = match (*gap, route.target_gap) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
    }
    let ordered = seen.into_iter().filter_map(|(service, (priorities, gap))| {
        let gap = gap.filter(|gap| priorities.len() > 1 && !gap.is_zero())?;
        Some((service.to_owned(), gap))
    });
    ordered.collect()
}
