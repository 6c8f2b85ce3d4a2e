//! Tells the most urgent requests of a service from the others.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which a priority counts after its last request.
const PRIORITY_RETENTION: Duration = Duration::from_secs(10);

/// The most urgent priority that each service's requests had recently.
#[derive(Debug, Default)]
pub struct UrgencyTracker {
    by_service: HashMap<String, SeenPriority>,
}

#[derive(Clone, Copy, Debug)]
struct SeenPriority {
    /// Zero is the most urgent.
    priority: u8,
    seen_at: Duration,
}

impl UrgencyTracker {
    /// Records a request, and returns whether none with a more urgent priority came recently.
    pub fn is_most_urgent(&mut self, now: Duration, service: &str, priority: u8) -> bool {
        let seen = SeenPriority {
            priority,
            seen_at: now,
        };
        let Some(known) = self.by_service.get_mut(service) else {
            self.by_service.insert(service.to_owned(), seen);
            return true;
        };
        if priority <= known.priority || now >= known.seen_at + PRIORITY_RETENTION {
            *known = seen;
        }
        priority <= known.priority
    }
}
