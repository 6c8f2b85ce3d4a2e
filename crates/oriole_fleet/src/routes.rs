//! Routes and how a request finds its own.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::prelude::*;

value_type! {
    /// What may be repeated of a route's requests.
    pub enum RouteKind {
        /// A request may run more than once.
        Idempotent,
        /// A request may run at most once.
        AtMostOnce,
        /// The answer is a series of events; resumed only if the route says so.
        Stream,
    }
}

domain_type! {
    /// A service with its share of a route's requests.
    pub struct ServiceShare {
        /// Name of the service.
        pub service: String,
        /// Weight against the other shares.
        pub weight: u32,
    }
}

domain_type! {
    /// One route of a host.
    pub struct Route {
        /// Name, for logs.
        pub name: String,
        /// Host that the route belongs to, in lower case.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Whether a stream may go on at another upstream.
        pub resumable: bool,
        /// Services by weight; at least one.
        pub services: Vec<ServiceShare>,
        /// Most upstreams that may run one request.
        pub max_attempts: u32,
        /// Longest time that a caller is kept waiting for the end of an answer.
        pub timeout: Duration,
        /// Time in which an answer is worth most; the first event of a stream.
        pub latency_objective: Duration,
        /// Urgency; zero is the most urgent.
        pub priority: u8,
        /// Whether callers need no key.
        pub public: bool,
    }
}

impl Route {
    /// Whether a request may reach a second upstream after it may have run at a first.
    #[must_use]
    pub fn allows_reexecution(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a point in `0.0..1.0`, by weight.
    #[must_use]
    pub fn pick_service(&self, point: f64) -> &str {
        let total: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let mut left = point * total;
        for share in &self.services {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return &share.service;
            }
        }
        self.services.last().map_or("", |s| s.service.as_str())
    }
}

/// All routes, found by host and longest prefix.
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
    /// A table of some routes.
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

    /// The route of a host with the longest prefix that begins the path.
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
