//! Routes, and the lookup of a request's route.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::prelude::*;

value_type! {
    /// Whether a request of a route may run again after it may have run once.
    pub enum RouteKind {
        /// A request may run more than once.
        Idempotent,
        /// A request may run at most once.
        AtMostOnce,
        /// The answer is a stream of events; it may be resumed only if the route allows it.
        Stream,
    }
}

domain_type! {
    /// A service and its share of a route's requests.
    pub struct ServiceShare {
        /// Name of the service.
        pub service: String,
        /// Weight relative to the route's other shares.
        pub weight: u32,
    }
}

domain_type! {
    /// A route: which requests it matches and how they are forwarded.
    pub struct Route {
        /// Name, for logs.
        pub name: String,
        /// Host that the route matches, in lower case.
        pub host: String,
        /// Path prefix that the route matches; starts and ends with a slash.
        pub prefix: String,
        /// Whether requests may run again.
        pub kind: RouteKind,
        /// Whether a broken stream may resume at another upstream.
        pub resumable: bool,
        /// Services with their weights; at least one.
        pub services: Vec<ServiceShare>,
        /// Maximum number of upstreams that may run one request.
        pub max_attempts: u32,
        /// Maximum time until the end of the answer.
        pub timeout: Duration,
        /// Target for the time to the answer or, for a stream, to its first event.
        pub latency_objective: Duration,
        /// Longest pause between two events of a stream that is on time; `None` if it has no target.
        pub target_gap: Option<Duration>,
        /// Priority; zero is the most urgent.
        pub priority: u8,
        /// Whether callers may send requests without an account key.
        pub public: bool,
    }
}

impl Route {
    /// Whether a request may be sent to a second upstream after it may have run at the first.
    #[must_use]
    pub fn allows_reexecution(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks a service by weight; `point` is a random number in `0.0..1.0`.
    #[must_use]
    pub fn pick_service(&self, point: f64) -> &str {
        let total: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let mut remaining = point * total;
        for share in &self.services {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        self.services.last().map_or("", |s| s.service.as_str())
    }
}

/// All routes, looked up by host and longest matching prefix.
///
/// ```
/// use oriole_fleet::routes::RouteTable;
/// assert!(RouteTable::default().find("a.example", "/b/").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Route>>,
}

impl RouteTable {
    /// Creates a table of the given routes.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { hosts }
    }

    /// Finds the route of a host with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|b| b.is_ascii_digit());
            if is_port { name } else { host }
        });
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// All routes, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
