//! One accepted version of the operator's configuration.

use std::collections::HashMap;
use std::time::Duration;

use oriole_types::domain_type;

use crate::accounts::Accounts;
use crate::routes::RouteTable;
use crate::service::Service;

domain_type! {
    /// What a caller may send, and how long it may take.
    pub struct RequestLimits {
        /// Bytes of a request's head.
        pub max_head_bytes: usize,
        /// Bytes of a request's body.
        pub max_body_bytes: u64,
        /// Time to send a head.
        pub head_timeout: Duration,
        /// Time for which a connection may stay idle.
        pub idle_timeout: Duration,
    }
}

impl Default for RequestLimits {
    /// Limits in force until a configuration names others.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routes, services, accounts and limits that were accepted together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version that the operator gave it; grows in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Client accounts.
    pub accounts: Accounts,
    /// Limits on requests.
    pub limits: RequestLimits,
}
