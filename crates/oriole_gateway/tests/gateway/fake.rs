//! A dialect without a platform. `up/NAME` holds `service address domain state start group phase`;
//! the last three are optional.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Uri};
use oriole_fleet::prelude::*;
use oriole_gateway::fleet_view::{FleetView, KnownUpstream};

/// Implements [`Dialect`] for the tests.
pub struct FakeDialect {
    /// Header names.
    pub names: HeaderNames,
    /// Configuration that `cfg/0` decodes to, apart from its version; `None` for an empty one.
    pub configuration: Option<Configuration>,
}

impl Default for FakeDialect {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            configuration: None,
            names: HeaderNames {
                attempt: name("attempt"),
                deadline_ms: name("deadline"),
                last_event_id: name("last-event"),
                signature: name("signature"),
                account: name("account"),
                expect_instance: name("expect"),
                expect_version: name("expect-version"),
                not_run: name("not-run"),
                priority: name("priority"),
            },
        }
    }
}

fn upstream(instance: &str, text: &str) -> Option<Upstream> {
    let mut words = text.split(' ');
    Some(Upstream {
        instance: instance.to_owned(),
        service: words.next()?.to_owned(),
        address: words.next()?.parse().ok()?,
        domain: words.next()?.to_owned(),
        capacity: 4,
        state: match words.next()? {
            "ready" => UpstreamState::Ready,
            "draining" => UpstreamState::Draining,
            _ => return None,
        },
        cold_remaining: Duration::ZERO,
        started_at_ms: words.next().and_then(|w| w.parse().ok()),
        group_membership: words.next().map(|group| GroupMembership {
            group: group.to_owned(),
            rank: 0,
            epoch: 0,
            group_running: words.next() == Some("open"),
        }),
    })
}

impl Dialect for FakeDialect {
    fn headers(&self) -> &HeaderNames {
        &self.names
    }

    fn account_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get("key")?.to_str().ok()
    }

    fn shared_prompt_parts<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str> {
        let value = headers.get("parts").and_then(|v| v.to_str().ok());
        value.map_or_else(Vec::new, |v| v.split(',').collect())
    }

    fn announced_limit(&self, headers: &HeaderMap) -> AnnouncedLimit {
        let value = headers.get("limit").and_then(|v| v.to_str().ok());
        match value.map(str::parse) {
            None => AnnouncedLimit::None,
            Some(Ok(per_s)) => AnnouncedLimit::PerSecond(per_s),
            Some(Err(_)) => AnnouncedLimit::Unreadable(value.unwrap_or_default().to_owned()),
        }
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        headers.contains_key("leaving")
    }

    fn retry_after(&self, headers: &HeaderMap) -> RetryAfter {
        let value = headers.get("retry-after").and_then(|v| v.to_str().ok());
        match value.map(str::parse) {
            None => RetryAfter::None,
            Some(Ok(secs)) => RetryAfter::Seconds(secs),
            Some(Err(_)) => RetryAfter::Unreadable(value.unwrap_or_default().to_owned()),
        }
    }

    fn is_readiness_query(&self, uri: &Uri) -> bool {
        uri.path() == "/ready"
    }

    fn endpoint_query(&self, _uri: &Uri) -> Option<EndpointQuery> {
        None
    }

    fn endpoint_answer(&self, _addresses: &[SocketAddr], _keep: Duration) -> Bytes {
        Bytes::new()
    }

    fn watched_prefixes(&self) -> &[&'static str] {
        &["cfg", "up/"]
    }

    fn configuration_key(&self) -> &'static str {
        "cfg/0"
    }

    fn upstreams_prefix(&self) -> &'static str {
        "up/"
    }

    fn peers_prefix(&self) -> &'static str {
        "peer/"
    }

    fn decode(&self, key: &str, value: &[u8]) -> DecodedItem {
        let text = String::from_utf8_lossy(value);
        if key == "cfg/0" {
            let version = text.parse().unwrap_or(0);
            return DecodedItem::Configuration(Box::new(Configuration {
                version,
                ..self.configuration.clone().unwrap_or_default()
            }));
        }
        if let Some(domain) = key.strip_prefix("cfg/out/") {
            return DecodedItem::Evacuated(domain.to_owned());
        }
        if let Some(name) = key.strip_prefix("peer/") {
            return match text.parse() {
                Ok(address) => DecodedItem::Peer {
                    name: name.to_owned(),
                    address,
                },
                Err(_) => DecodedItem::Unreadable("not an address".to_owned()),
            };
        }
        match key.strip_prefix("up/") {
            Some(instance) => match upstream(instance, &text) {
                Some(upstream) => DecodedItem::Upstream(Box::new(upstream)),
                None => DecodedItem::Unreadable("not an upstream".to_owned()),
            },
            None => DecodedItem::Other,
        }
    }

    fn encode_peer(&self, name: &str, address: SocketAddr) -> (String, Bytes) {
        (format!("peer/{name}"), address.to_string().into())
    }
}

/// The services of a configuration: `llm` only.
pub fn services() -> HashMap<String, Service> {
    let service = Service {
        name: "llm".to_owned(),
        health_path: String::new(),
        max_connections: u32::MAX,
        cold_start: Duration::ZERO,
        cold_requests_per_s: 0.0,
        group: None,
    };
    [(service.name.clone(), service)].into()
}

/// An empty fleet view that uses the fake dialect.
pub fn fleet_view() -> FleetView {
    FleetView::new(Arc::new(FakeDialect::default()), secs(1.8))
}

/// A change that writes a key.
pub fn put(key: &str, value: &str, revision: u64) -> Change {
    Change::Put(item(key, value, revision))
}

/// A store item.
pub fn item(key: &str, value: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        revision,
    }
}

/// A change that removes a key.
pub fn removed(key: &str, revision: u64) -> Change {
    Change::Removed {
        key: key.to_owned(),
        revision,
    }
}

/// A ready upstream of service `llm`.
pub fn known(i: usize, capacity: u32) -> KnownUpstream {
    let text = format!("llm 10.0.0.{i}:80 north ready");
    let mut upstream = upstream(&format!("i{i}"), &text).expect("a valid upstream");
    upstream.capacity = capacity;
    KnownUpstream::new(Duration::ZERO, upstream)
}

/// A duration in seconds.
pub fn secs(seconds: f64) -> Duration {
    oriole_fleet::bounded::duration_from_secs(seconds)
}
