//! Accepts the connections of the stand-in store and executes its calls.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriole_store::error::StoreError;
use oriole_store::memory::MemoryStore;
use oriole_store::protocol;
use oriole_store::store::{
    LeaseId, MAX_VALUE_BYTES, Precondition, Store as _, StoreVersion, Versioned,
};
use percent_encoding::percent_decode_str;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum wait of a watch; longer ones are shortened to it.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(300);

/// The answer of a call is lost: the connection closes without a response.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct AnswerLost;

type Reply = Response<Full<Bytes>>;

/// Accepts connections until `stop` is cancelled.
pub(super) async fn accept(
    listener: TcpListener,
    store: MemoryStore,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // For example, no free file descriptor: retry when others may have been closed.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
        };
        let serve = serve(stream, store.clone());
        let stop = stop.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve => {}
            }
        });
    }
}

async fn serve(stream: TcpStream, store: MemoryStore) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let store = store.clone();
        // In its own task, so that a received call is executed even if its client disconnects.
        let answer = tokio::spawn(answer(req, store));
        async move { answer.await.unwrap_or(Err(AnswerLost)) }
    });
    // The client notices a broken connection by itself.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(req: Request<Incoming>, store: MemoryStore) -> Result<Reply, AnswerLost> {
    let (head, body) = req.into_parts();
    let body = match Limited::new(body, MAX_VALUE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => return Ok(error_reply(&StoreError::TooLarge)),
        Err(_) => return Err(AnswerLost),
    };
    let call = CallRequest { head, body };
    match call.run(&store).await {
        Ok(reply) => Ok(reply),
        Err(StoreError::Ambiguous) => Err(AnswerLost),
        Err(e) => Ok(error_reply(&e)),
    }
}

struct CallRequest {
    head: http::request::Parts,
    body: Bytes,
}

impl CallRequest {
    async fn run(self, store: &MemoryStore) -> Result<Reply, StoreError> {
        let path = self.head.uri.path();
        if let Some(key) = path.strip_prefix(protocol::KV_PREFIX) {
            let key = percent_decode_str(key)
                .decode_utf8()
                .map_err(|_| malformed("key"))?;
            return self.run_on_key(&key, store).await;
        }
        let Some(lease) = path.strip_prefix(protocol::LEASES_PATH) else {
            return Err(malformed("path"));
        };
        match self.head.method {
            Method::POST if lease.is_empty() => {
                let ttl = Duration::from_millis(self.query_number(protocol::TTL_MS_PARAM)?);
                let lease = store.grant_lease(ttl).await?;
                Ok(reply(
                    StatusCode::OK,
                    Some((protocol::LEASE_HEADER, lease.0)),
                    Bytes::new(),
                ))
            }
            Method::PUT => {
                let id = lease.trim_start_matches('/').parse();
                let id = id.map_err(|_| malformed("lease"))?;
                store.renew_lease(LeaseId(id)).await?;
                Ok(reply(StatusCode::OK, None, Bytes::new()))
            }
            _ => Err(malformed("method")),
        }
    }

    async fn run_on_key(&self, key: &str, store: &MemoryStore) -> Result<Reply, StoreError> {
        match self.head.method {
            Method::GET if self.head.uri.query().is_some() => {
                let after = StoreVersion(self.query_number(protocol::AFTER_PARAM)?);
                let wait = Duration::from_millis(self.query_number(protocol::WAIT_MS_PARAM)?);
                let found = store.watch(key, after, wait.min(MAX_WATCH_WAIT)).await?;
                Ok(found.map_or_else(|| empty_reply(StatusCode::NO_CONTENT), value_reply))
            }
            Method::GET => {
                let found = store.get(key).await?;
                Ok(found.map_or_else(|| empty_reply(StatusCode::NOT_FOUND), value_reply))
            }
            Method::PUT => self.put(key, store).await,
            Method::DELETE => {
                store.delete(key, self.precondition()?).await?;
                Ok(empty_reply(StatusCode::OK))
            }
            _ => Err(malformed("method")),
        }
    }

    async fn put(&self, key: &str, store: &MemoryStore) -> Result<Reply, StoreError> {
        let precondition = self.precondition()?;
        let value = self.body.clone();
        let version = match self.header(protocol::LEASE_HEADER) {
            None => store.put(key, value, precondition).await?,
            Some(lease) => {
                let lease = lease
                    .parse()
                    .map_err(|_| malformed(protocol::LEASE_HEADER))?;
                store
                    .put_leased(key, value, precondition, LeaseId(lease))
                    .await?
            }
        };
        let version = Some((protocol::VERSION_HEADER, version.0));
        Ok(reply(StatusCode::OK, version, Bytes::new()))
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|v| v.to_str().ok())
    }

    fn precondition(&self) -> Result<Precondition, StoreError> {
        self.header(protocol::EXPECT_HEADER)
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| malformed(protocol::EXPECT_HEADER))
    }

    fn query_number(&self, name: &str) -> Result<u64, StoreError> {
        let query = self.head.uri.query().unwrap_or_default();
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
            .ok_or_else(|| malformed(name))
    }
}

fn malformed(what: &str) -> StoreError {
    StoreError::Malformed(what.to_owned())
}

fn value_reply(found: Versioned) -> Reply {
    let version = Some((protocol::VERSION_HEADER, found.version.0));
    reply(StatusCode::OK, version, found.value)
}

fn empty_reply(status: StatusCode) -> Reply {
    reply(status, None, Bytes::new())
}

fn error_reply(e: &StoreError) -> Reply {
    let status = match e {
        StoreError::Conflict => StatusCode::CONFLICT,
        StoreError::LeaseLapsed => StatusCode::GONE,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        StoreError::Malformed(_) => StatusCode::BAD_REQUEST,
        StoreError::Unavailable | StoreError::BudgetSpent | StoreError::Ambiguous => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    reply(status, None, Bytes::from(e.to_string()))
}

fn reply(status: StatusCode, numeric_header: Option<(&'static str, u64)>, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    if let Some((name, value)) = numeric_header {
        reply.headers_mut().insert(name, value.into());
    }
    reply
}
