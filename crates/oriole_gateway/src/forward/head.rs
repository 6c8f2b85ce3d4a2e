//! Heads of requests and answers on their way through.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use http_body_util::Full;
use oriole_fleet::prelude::HeaderNames;

/// Headers that concern one connection only, beside those that `Connection` names.
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

/// Removes what concerns one connection only.
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
pub struct Outgoing {
    /// Method, target and headers without those that differ by attempt.
    parts: http::request::Parts,
    body: Bytes,
}

impl Outgoing {
    /// Prepares a caller's request: its key is left out, its account is named.
    pub fn new(
        mut parts: http::request::Parts,
        body: Bytes,
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
        // Callers that speak an older version reach upstreams in the current one.
        parts.version = http::Version::HTTP_11;
        Self { parts, body }
    }

    /// The request for one attempt.
    pub fn attempt(
        &self,
        names: &HeaderNames,
        instance: &str,
        left: Option<Duration>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::from_parts(self.parts.clone(), Full::new(self.body.clone()));
        let headers = req.headers_mut();
        if let Ok(value) = HeaderValue::from_str(instance) {
            headers.insert(names.expect_instance.clone(), value);
        }
        if let Some(left) = left {
            let millis = left.as_millis() as u64;
            headers.insert(names.deadline_ms.clone(), HeaderValue::from(millis.max(1)));
        }
        if let Some(id) = last_event {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(id));
        }
        req
    }
}

/// The head of an upstream's answer as the caller gets it; the body's framing is left out.
pub fn answer_head<B>(answer: &Response<B>) -> http::response::Builder {
    let mut headers = answer.headers().clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut builder = Response::builder().status(answer.status());
    if let Some(target) = builder.headers_mut() {
        *target = headers;
    }
    builder
}

/// Time for which an upstream keeps an idle connection, if it tells.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Whether an upstream closes the connection after this answer.
pub fn closes(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.to_ascii_lowercase().contains("close"))
}
