//! HTTP client of the store.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use metrics::counter;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::time::{Instant, sleep, timeout};

use crate::backoff::Backoff;
use crate::counters::{CallCounters, CallCounts, CallKind};
use crate::error::StoreError;
use crate::protocol;
use crate::rate::TokenBucket;
use crate::store::{LeaseId, MAX_VALUE_BYTES, Precondition, Store, StoreVersion, Versioned};

/// Maximum number of times that the timeout of a call is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Settings of a [`HttpStore`].
#[derive(Clone, Debug)]
pub struct StoreClientConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of the first attempt of a call, in addition to the wait of a watch. It doubles with
    /// each further attempt.
    pub timeout: Duration,
    /// Maximum number of attempts of a call. Only calls that certainly wrote nothing are retried.
    pub max_attempts: u32,
    /// Pauses between the attempts.
    pub backoff: Backoff,
    /// Maximum call rate of this process, in calls per second; each attempt counts.
    pub calls_per_s: u32,
    /// Maximum number of calls in a burst after an idle time.
    pub call_burst: u32,
}

impl Default for StoreClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            max_attempts: 3,
            backoff: Backoff {
                first: Duration::from_millis(50),
                max: Duration::from_secs(1),
            },
            calls_per_s: 100,
            call_burst: 200,
        }
    }
}

/// HTTP client of the store.
///
/// Failed calls that certainly wrote nothing are retried after a jittered pause, within a rate limit
/// for this process. A write whose answer is lost fails with [`StoreError::Ambiguous`] and is not
/// retried. A watch is sent with the version that the caller has seen, so that no change is missed
/// when it is retried.
#[derive(Debug)]
pub struct HttpStore {
    addr: SocketAddr,
    cfg: StoreClientConfig,
    client: Client<HttpConnector, Full<Bytes>>,
    opened_at: Instant,
    budget: Mutex<TokenBucket>,
    counters: CallCounters,
}

/// A call, which is sent once per attempt.
struct Call {
    kind: CallKind,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpStore {
    /// Creates a client of the store at an address. It connects when first used. Must be called
    /// within a tokio runtime.
    #[must_use]
    pub fn open(addr: SocketAddr, cfg: StoreClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        let budget = TokenBucket::new(f64::from(cfg.calls_per_s), f64::from(cfg.call_burst));
        Self {
            addr,
            cfg,
            client,
            opened_at: Instant::now(),
            budget: Mutex::new(budget),
            counters: CallCounters::default(),
        }
    }

    /// Calls sent so far; each attempt counts.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counters.counts()
    }

    async fn call(&self, call: Call, deadline: Option<Instant>) -> Result<Answer, StoreError> {
        let mut attempts = 0;
        loop {
            let remaining_wait = deadline.map_or(Duration::ZERO, |d| d - Instant::now());
            // With longer timeouts, a store that has become slow can still be used.
            let call_timeout =
                self.cfg.timeout * (1 << attempts.min(MAX_TIMEOUT_DOUBLINGS)) + remaining_wait;
            let result = self.try_call(&call, call_timeout).await;
            attempts += 1;
            count_result(call.kind, &result);
            let retryable = matches!(
                result,
                Err(StoreError::Unavailable | StoreError::RateLimited)
            );
            if !retryable || attempts >= self.cfg.max_attempts {
                return result;
            }
            let pause = self.cfg.backoff.pause(attempts, &mut rand::rng());
            sleep(pause).await;
        }
    }

    async fn try_call(&self, call: &Call, call_timeout: Duration) -> Result<Answer, StoreError> {
        self.take_from_budget()?;
        self.counters.count(call.kind);
        match timeout(call_timeout, self.send(call)).await {
            Ok(result) => result,
            Err(_) => Err(call.no_answer_error()),
        }
    }

    fn take_from_budget(&self) -> Result<(), StoreError> {
        let now = self.opened_at.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.try_take(now) {
            Ok(())
        } else {
            Err(StoreError::BudgetSpent)
        }
    }

    async fn send(&self, call: &Call) -> Result<Answer, StoreError> {
        let req = call.request(self.addr)?;
        let answer = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                StoreError::Unavailable
            } else {
                call.no_answer_error()
            }
        })?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_VALUE_BYTES)
            .collect()
            .await
            .map_err(|_| call.no_answer_error())?
            .to_bytes();
        let answer = Answer {
            status: head.status,
            headers: head.headers,
            body,
        };
        answer.check_status(call.kind)
    }
}

impl Call {
    fn new(kind: CallKind, method: Method, path: String) -> Self {
        Self {
            kind,
            method,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    fn for_key(kind: CallKind, method: Method, key: &str) -> Self {
        let key = utf8_percent_encode(key, NON_ALPHANUMERIC);
        Self::new(kind, method, format!("{}{key}", protocol::KV_PREFIX))
    }

    fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        if let Ok(value) = value.to_string().parse() {
            self.headers.insert(name, value);
        }
        self
    }

    fn request(&self, addr: SocketAddr) -> Result<Request<Full<Bytes>>, StoreError> {
        let mut req = Request::builder()
            .method(&self.method)
            .uri(format!("http://{addr}{}", self.path))
            .body(Full::new(self.body.clone()))
            .map_err(|e| StoreError::Malformed(e.to_string()))?;
        *req.headers_mut() = self.headers.clone();
        Ok(req)
    }

    /// The error of the call if it was sent but not answered.
    fn no_answer_error(&self) -> StoreError {
        match self.kind {
            CallKind::Write => StoreError::Ambiguous,
            CallKind::Read | CallKind::Watch => StoreError::Unavailable,
        }
    }
}

impl Answer {
    fn check_status(self, kind: CallKind) -> Result<Self, StoreError> {
        match self.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(self),
            StatusCode::NOT_FOUND if kind == CallKind::Read => Ok(self),
            StatusCode::CONFLICT => Err(StoreError::Conflict),
            StatusCode::GONE => Err(StoreError::LeaseLapsed),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            status => Err(StoreError::Malformed(format!("status {status}"))),
        }
    }

    fn number_header(&self, name: &str) -> Result<u64, StoreError> {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .ok_or_else(|| {
                StoreError::Malformed(format!("header {name} is missing or not a number"))
            })
    }

    fn version(&self) -> Result<StoreVersion, StoreError> {
        self.number_header(protocol::VERSION_HEADER)
            .map(StoreVersion)
    }

    fn versioned(self) -> Result<Versioned, StoreError> {
        let version = self.version()?;
        let value = self.body;
        Ok(Versioned { value, version })
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let call = Call::for_key(CallKind::Read, Method::GET, key);
        let answer = self.call(call, None).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => answer.versioned().map(Some),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        check_size(&value)?;
        let mut call = Call::for_key(CallKind::Write, Method::PUT, key)
            .header(protocol::EXPECT_HEADER, expect);
        call.body = value;
        self.call(call, None).await?.version()
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        check_size(&value)?;
        let mut call = Call::for_key(CallKind::Write, Method::PUT, key)
            .header(protocol::EXPECT_HEADER, expect)
            .header(protocol::LEASE_HEADER, lease);
        call.body = value;
        self.call(call, None).await?.version()
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        let call = Call::for_key(CallKind::Write, Method::DELETE, key)
            .header(protocol::EXPECT_HEADER, expect);
        self.call(call, None).await.map(drop)
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let mut call = Call::for_key(CallKind::Watch, Method::GET, key);
        call.path += &format!(
            "?{}={after}&{}={}",
            protocol::AFTER_PARAM,
            protocol::WAIT_MS_PARAM,
            wait.as_millis()
        );
        let answer = self.call(call, Some(Instant::now() + wait)).await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(None),
            _ => answer.versioned().map(Some),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let path = format!(
            "{}?{}={}",
            protocol::LEASES_PATH,
            protocol::TTL_MS_PARAM,
            ttl.as_millis()
        );
        let call = Call::new(CallKind::Write, Method::POST, path);
        self.call(call, None)
            .await?
            .number_header(protocol::LEASE_HEADER)
            .map(LeaseId)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("{}/{lease}", protocol::LEASES_PATH);
        let call = Call::new(CallKind::Write, Method::PUT, path);
        self.call(call, None).await.map(drop)
    }
}

fn check_size(value: &Bytes) -> Result<(), StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(StoreError::TooLarge);
    }
    Ok(())
}

fn count_result(kind: CallKind, result: &Result<Answer, StoreError>) {
    let reason = match result {
        Ok(_) => "ok",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::Unavailable) => "unavailable",
        Err(StoreError::RateLimited) => "rate_limited",
        Err(StoreError::BudgetSpent) => "budget_spent",
        Err(StoreError::Ambiguous) => "ambiguous",
        Err(StoreError::TooLarge) => "too_large",
        Err(StoreError::LeaseLapsed) => "lease_lapsed",
        Err(StoreError::Malformed(_)) => "malformed",
    };
    counter!("oriole_store_calls_total", "kind" => kind.as_str(), "reason" => reason).increment(1);
}
