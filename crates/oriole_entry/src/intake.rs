//! Checks an HTTP request (account, catalog entry, key, timeout, body) and admits it to its limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use oriole_types::prelude::*;
use serde::de::IgnoredAny;

use crate::answer::Refusal;
use crate::api::headers;
use crate::memory::HeldRequest;
use crate::routing::PermitGuard;
use crate::state::EntryState;

/// A request that passed all checks and counts against its limits.
pub struct AcceptedRequest {
    /// Number of the request.
    pub request: RequestId,
    /// Head for agents; its timeout is that of the whole request.
    pub head: RequestHead,
    /// Body, which is valid JSON.
    pub body: Bytes,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Kind of the pool's upstreams.
    pub kind: PoolKind,
    /// The account's weight in the queue.
    pub weight: u32,
    /// Deadline for the complete answer, as time since the start of the process.
    pub deadline: Duration,
    /// Counts the request against its limits until dropped.
    pub permit: PermitGuard,
    /// Counts the request and its body toward the memory budget until dropped.
    pub memory: HeldRequest,
}

/// A request whose head was checked and whose body has not been read yet.
pub struct CheckedHead<'a> {
    state: &'a Arc<EntryState>,
    request: RequestId,
    catalog: Arc<Catalog>,
    account: AccountName,
    entry_name: EntryName,
    entry: CatalogEntry,
    kind: PoolKind,
    key: Option<IdempotencyKey>,
    timeout_ms: u32,
    stream: bool,
}

impl<'a> CheckedHead<'a> {
    /// Checks the head of a request.
    ///
    /// # Errors
    ///
    /// Refuses a request with an invalid account, catalog entry, key or timeout, and every request
    /// while the process has no configuration or is shutting down.
    pub fn check(
        state: &'a Arc<EntryState>,
        request: RequestId,
        entry_name: &str,
        req_headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        state.check_serving()?;
        let catalog = state.catalog()?;
        let account = authenticate(&catalog, req_headers)?;
        let (entry_name, entry) = find_entry(&catalog, entry_name)?;
        let key = headers::idempotency_key(req_headers)?;
        if !entry.class.idempotent && key.is_none() {
            let message = format!("entry {entry_name} requires an Idempotency-Key header");
            return Err(Refusal::new(RefusalReason::KeyRequired, message));
        }
        let default = entry.default_timeout_ms;
        let timeout_ms = headers::timeout_ms(req_headers, default, entry.max_timeout_ms)?;
        let pool = catalog.pools.get(&entry.pool).ok_or_else(|| {
            let message = format!("no upstream serves entry {entry_name}");
            Refusal::new(RefusalReason::NoUpstream, message)
        })?;
        Ok(Self {
            state,
            request,
            account,
            stream: entry.class.stream && headers::wants_stream(req_headers),
            kind: pool.kind,
            entry_name,
            entry,
            key,
            timeout_ms,
            catalog,
        })
    }

    /// Counts the request toward the memory budget, before its body is read.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is no room for it.
    pub fn hold_memory(&self) -> Result<HeldRequest, Refusal> {
        self.state.memory.open(self.request, &self.account)
    }

    /// Largest body of the request, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.entry.max_body_bytes as usize
    }

    /// Checks the body and counts the request against its limits.
    ///
    /// # Errors
    ///
    /// Refuses a body that is not JSON, and a request that is blocked, quarantined, over a limit or
    /// cut off.
    pub fn accept(self, body: Bytes, memory: HeldRequest) -> Result<AcceptedRequest, Refusal> {
        check_json(&body)?;
        let entry = self.entry_name.as_str().as_bytes();
        let content = Digest::of_fields(&[entry, &body]);
        self.state.check_content(&content)?;
        let permit = self.state.routing.admit(
            &self.catalog,
            &self.account,
            &self.entry_name,
            self.key.as_ref(),
        )?;
        memory.start_running()?;
        let account = self.catalog.accounts.get(&self.account);
        let timeout = Duration::from_millis(u64::from(self.timeout_ms));
        let head = RequestHead {
            entry: self.entry_name,
            account: self.account.clone(),
            idempotent: self.entry.class.idempotent,
            priority: self.entry.class.priority,
            stream: self.stream,
            key: self.key,
            content,
            timeout_ms: self.timeout_ms,
            resume_from: 0,
        };
        Ok(AcceptedRequest {
            request: self.request,
            head,
            body,
            pool: self.entry.pool,
            kind: self.kind,
            weight: account.map_or(1, |a| a.weight),
            deadline: self.state.clock.now() + timeout,
            permit,
            memory,
        })
    }
}

/// Finds the account of the key that the caller sent.
///
/// # Errors
///
/// Refuses a caller that sent no valid account key.
pub fn authenticate(catalog: &Catalog, req_headers: &HeaderMap) -> Result<AccountName, Refusal> {
    headers::account_key(req_headers)
        .and_then(|key| catalog.account_by_key(&key))
        .map(|(name, _)| name.clone())
        .ok_or_else(|| {
            let message = "show the key of a client account as 'Authorization: Bearer KEY'";
            Refusal::new(RefusalReason::AccountUnknown, message)
        })
}

/// Finds the catalog entry with this name.
///
/// # Errors
///
/// Refuses a name that is not in the catalog.
pub fn find_entry(catalog: &Catalog, name: &str) -> Result<(EntryName, CatalogEntry), Refusal> {
    catalog
        .entries
        .get_key_value(name)
        .map(|(name, entry)| (name.clone(), entry.clone()))
        .ok_or_else(|| {
            let message = format!("the catalog has no entry {name:?}");
            Refusal::new(RefusalReason::EntryUnknown, message)
        })
}

fn check_json(body: &[u8]) -> Result<(), Refusal> {
    let parsed: Result<IgnoredAny, _> = serde_json::from_slice(body);
    parsed.map(|_| ()).map_err(|e| {
        let message = format!("the body is not valid JSON: {e}");
        Refusal::new(RefusalReason::RequestInvalid, message)
    })
}
