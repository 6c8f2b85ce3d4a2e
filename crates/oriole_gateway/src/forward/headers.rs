//! Rewrites the heads of requests and responses that are forwarded.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header};
use oriole_fleet::bounded;
use oriole_fleet::prelude::HeaderNames;
use oriole_memory::prelude::Blocks;

use super::body::BlockBody;

/// Headers that apply to a single connection, in addition to those that `Connection` lists.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Removes the headers that apply to a single connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(HOP_BY_HOP.iter()) {
        headers.remove(name);
    }
}

/// A caller's request as it is sent to upstreams.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method, target and all headers that are the same for every attempt.
    parts: http::request::Parts,
    body: Blocks,
}

impl OutgoingRequest {
    /// Prepares a caller's request: removes its key and adds the name of its account.
    pub fn new(
        mut parts: http::request::Parts,
        body: Blocks,
        names: &HeaderNames,
        account: Option<&str>,
        priority: u8,
    ) -> Self {
        let headers = &mut parts.headers;
        strip_hop_by_hop(headers);
        for name in [
            &header::CONTENT_LENGTH,
            &header::EXPECT,
            &header::AUTHORIZATION,
            &names.account,
            &names.expect_instance,
            &names.priority,
            &names.deadline_ms,
        ] {
            headers.remove(name);
        }
        if let Some(value) = account.and_then(|a| HeaderValue::from_str(a).ok()) {
            headers.insert(names.account.clone(), value);
        }
        headers.insert(
            names.priority.clone(),
            HeaderValue::from(u16::from(priority.min(9))),
        );
        // Upstreams receive HTTP/1.1 even from callers with an older version.
        parts.version = http::Version::HTTP_11;
        Self { parts, body }
    }

    /// Method of the request.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// Whether the caller sent a header.
    pub fn has_header(&self, name: &HeaderName) -> bool {
        self.parts.headers.contains_key(name)
    }

    /// Builds the request for one attempt at `instance`.
    pub fn for_attempt(
        &self,
        names: &HeaderNames,
        instance: &str,
        remaining: Option<Duration>,
        last_event_id: Option<u64>,
    ) -> Request<BlockBody> {
        let mut req = Request::from_parts(self.parts.clone(), BlockBody::new(self.body.clone()));
        let headers = req.headers_mut();
        if let Ok(value) = HeaderValue::from_str(instance) {
            headers.insert(names.expect_instance.clone(), value);
        }
        if let Some(remaining) = remaining {
            let millis = remaining.as_millis() as u64;
            headers.insert(names.deadline_ms.clone(), HeaderValue::from(millis.max(1)));
        }
        if let Some(id) = last_event_id {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(id));
        }
        req
    }
}

/// The head of an upstream's response as the caller receives it, without the framing of the body.
pub fn response_head<B>(response: &Response<B>) -> http::response::Builder {
    let mut headers = response.headers().clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut builder = Response::builder().status(response.status());
    if let Some(target) = builder.headers_mut() {
        *target = headers;
    }
    builder
}

/// Time for which an upstream keeps an idle connection open, if it states one.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(bounded::duration_from_secs)
}

/// Whether the upstream closes the connection after this response.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.to_ascii_lowercase().contains("close"))
}
