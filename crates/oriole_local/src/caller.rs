//! A small HTTP client of the entries, as a customer's program would have.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::eyre;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A client that authenticates with an account key.
///
/// Clones share connections.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

/// A request to an entry.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest<'a> {
    /// Name of the catalog entry.
    pub entry: &'a str,
    /// JSON body.
    pub body: Bytes,
    /// Idempotency key; `None` sends none.
    pub key: Option<&'a str>,
    /// Timeout in milliseconds; `None` for the entry's default.
    pub timeout_ms: Option<u32>,
    /// Whether to request a streamed answer.
    pub stream: bool,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// `complete`, `not_run` or `unknown`.
    pub outcome: String,
    /// Reason if the outcome is not `complete` and one is given.
    pub reason: Option<String>,
    /// Body; of a streamed answer, the text of all events.
    pub body: Bytes,
    /// Time from the request to the head of the answer.
    pub first_byte: Duration,
    /// Time from the request to the end of the answer.
    pub total: Duration,
    /// Number of tokens in a streamed answer; 0 if it is not streamed.
    pub tokens: u64,
}

/// An address in [`CallerEndpoints`].
#[derive(Clone, Debug, Deserialize)]
pub struct CallerEndpoint {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Failure domain of the entry VM.
    pub domain: String,
}

/// Addresses of the entries that a caller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct CallerEndpoints {
    /// Addresses, best first.
    pub endpoints: Vec<CallerEndpoint>,
    /// How long a caller may cache the answer, in milliseconds.
    pub ttl_ms: u32,
    /// Catalog revision that the entry uses.
    pub revision: u64,
}

/// The last event of a stream, or the body of an answer that is not complete.
#[derive(Deserialize)]
struct EndBody {
    outcome: String,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    tokens: u64,
}

impl Caller {
    /// Creates a client that authenticates with an account key.
    #[must_use]
    pub fn open(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            key: key.to_owned(),
        }
    }

    /// Requests from an entry the addresses that callers may use.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses.
    pub async fn endpoints(&self, addr: SocketAddr) -> eyre::Result<CallerEndpoints> {
        let req = self.authorize(Request::get(format!("http://{addr}/v1/endpoints")));
        let response = self.client.request(req.body(Full::default())?).await?;
        read_json(response).await
    }

    /// Requests an idempotency key from an entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached or refuses.
    pub async fn mint_key(&self, addr: SocketAddr, entry: &str) -> eyre::Result<String> {
        #[derive(Deserialize)]
        struct KeyBody {
            key: String,
        }
        let uri = format!("http://{addr}/v1/entries/{entry}/keys");
        let req = self.authorize(Request::post(uri));
        let response = self.client.request(req.body(Full::default())?).await?;
        let body: KeyBody = read_json(response).await?;
        Ok(body.key)
    }

    /// Sends a request and waits for the end of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails; the outcome of the request is then unknown.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: &CallerRequest<'_>,
    ) -> eyre::Result<CallerAnswer> {
        let started = Instant::now();
        let response = self.client.request(self.build_request(addr, req)?).await?;
        let first_byte = started.elapsed();
        let status = response.status();
        let streamed = is_stream(&response);
        let outcome = header_text(&response, "outcome");
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| eyre!("the answer broke off: {e}"))?
            .to_bytes();
        let end = if streamed {
            parse_stream_end(&body)
        } else {
            parse_unstreamed_end(outcome, &body)
        };
        Ok(CallerAnswer {
            status,
            outcome: end.outcome,
            reason: end.reason,
            tokens: end.tokens,
            body,
            first_byte,
            total: started.elapsed(),
        })
    }

    fn build_request(
        &self,
        addr: SocketAddr,
        req: &CallerRequest<'_>,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let uri = format!("http://{addr}/v1/entries/{}/requests", req.entry);
        let mut builder = self
            .authorize(Request::post(uri))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = req.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(ms) = req.timeout_ms {
            builder = builder.header("request-timeout-ms", ms);
        }
        if req.stream {
            builder = builder.header(header::ACCEPT, "text/event-stream");
        }
        Ok(builder.body(Full::new(req.body.clone()))?)
    }

    fn authorize(&self, builder: http::request::Builder) -> http::request::Builder {
        builder.header(header::AUTHORIZATION, format!("Bearer {}", self.key))
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(
    response: Response<Incoming>,
) -> eyre::Result<T> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|e| eyre!("the answer broke off: {e}"))?
        .to_bytes();
    if !status.is_success() {
        return Err(eyre!("{status}: {}", String::from_utf8_lossy(&body)));
    }
    Ok(serde_json::from_slice(&body)?)
}

fn is_stream(response: &Response<Incoming>) -> bool {
    header_text(response, "content-type").starts_with("text/event-stream")
}

fn header_text(response: &Response<Incoming>, name: &str) -> String {
    let value = response.headers().get(name);
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// The outcome of an answer that is not streamed; `outcome` is the value of its header.
fn parse_unstreamed_end(outcome: String, body: &[u8]) -> EndBody {
    if outcome == "complete" {
        return EndBody {
            outcome,
            reason: None,
            tokens: 0,
        };
    }
    serde_json::from_slice(body).unwrap_or(EndBody {
        outcome,
        reason: None,
        tokens: 0,
    })
}

/// The outcome in the last event of a stream; `unknown` if the stream ends without such an event.
fn parse_stream_end(body: &[u8]) -> EndBody {
    let text = String::from_utf8_lossy(body);
    let last = text.trim_end().rsplit("\n\n").next().unwrap_or_default();
    let is_end = last.starts_with("event: end\n") || last.starts_with("event: error\n");
    let data = last.lines().find_map(|l| l.strip_prefix("data: "));
    let end = data.filter(|_| is_end).map(serde_json::from_str);
    end.and_then(Result::ok).unwrap_or(EndBody {
        outcome: "unknown".into(),
        reason: Some("incomplete".into()),
        tokens: 0,
    })
}
