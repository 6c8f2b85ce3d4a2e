//! One accepted version of the operator's configuration.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::domain_type;

use crate::accounts::Accounts;
use crate::routes::RouteTable;
use crate::service::Service;

domain_type! {
    /// Limits on the size of requests and the time that callers take to send them.
    pub struct RequestLimits {
        /// Maximum size of a request's head.
        pub max_head_bytes: usize,
        /// Maximum size of a request's body.
        pub max_body_bytes: u64,
        /// Maximum time to receive a request's head.
        pub head_timeout: Duration,
        /// Maximum time for which a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Default for RequestLimits {
    /// Limits that apply until a configuration sets others.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes, services, accounts and limits of one version; they take effect together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version set by the operator. It grows, but not always by one.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Client accounts by key.
    pub accounts: Accounts,
    /// Limits on requests.
    pub limits: RequestLimits,
}
