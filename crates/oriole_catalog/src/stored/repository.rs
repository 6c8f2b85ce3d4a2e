//! Access to the stored catalog for operators' tools.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt as _, TryStreamExt as _, stream};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::part::PartName;
use super::root::{ChangeId, ChangeRecord, PartRef, ROOT_KEY, Root, history_key};
use super::snapshot::{Snapshot, SnapshotError};

/// Maximum number of parts read concurrently.
const MAX_CONCURRENT_READS: usize = 8;
/// Attempts to read a revision whose parts are deleted during the read.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Settings of a [`Repository`].
#[derive(Clone, Copy, Debug)]
pub struct RepositoryConfig {
    /// Maximum time to determine whether a change was accepted.
    pub settle_timeout: Duration,
    /// Delays between attempts to determine it.
    pub backoff: oriole_store::backoff::Backoff,
    /// Number of revisions kept for history and rollback.
    pub kept_revisions: u64,
    /// Seed of the random number generator; random if `None`.
    pub seed: Option<u64>,
}

impl Default for RepositoryConfig {
    fn default() -> Self {
        Self {
            settle_timeout: Duration::from_secs(30),
            backoff: oriole_store::backoff::Backoff {
                first: Duration::from_millis(50),
                max: Duration::from_secs(2),
            },
            kept_revisions: 2_000,
            seed: None,
        }
    }
}

/// Why the stored catalog could not be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RepositoryError {
    /// The store did not return a value.
    #[error(transparent)]
    Store(#[from] StepError<StoreError>),
    /// The stored value is not a catalog.
    #[error("revision {revision}: {source}")]
    Snapshot {
        /// Revision of the root; zero if the root itself cannot be decoded.
        revision: Revision,
        /// Why the revision cannot be assembled.
        source: SnapshotError,
    },
    /// The revision never existed or has been removed.
    #[error("no revision {0}")]
    NoRevision(Revision),
}

/// The stored catalog.
///
/// Make every change with [`Repository::change`], which also handles lost answers of the store: it
/// returns whether the change was accepted, conflicts with another change or was refused.
#[derive(Clone)]
pub struct Repository {
    pub(super) store: Arc<dyn Store>,
    pub(super) cfg: RepositoryConfig,
    rng: Arc<Mutex<StdRng>>,
    /// The snapshot read last. Parts that it shares with the next one are not read again.
    last_read: Arc<Mutex<Snapshot>>,
}

/// The newest revision, with the version of its root in the store.
pub(super) struct StoredRevision {
    pub(super) snapshot: Snapshot,
    /// Precondition of a swap of the root.
    pub(super) precondition: Precondition,
    /// The encoded root; empty if the store holds none.
    pub(super) root_bytes: Bytes,
}

impl Repository {
    /// Opens the catalog in a store.
    #[must_use]
    pub fn open(store: Arc<dyn Store>, cfg: RepositoryConfig) -> Self {
        let seed = cfg.seed.unwrap_or_else(rand::random);
        let rng = Arc::new(Mutex::new(StdRng::seed_from_u64(seed)));
        let last_read = Arc::default();
        Self {
            store,
            cfg,
            rng,
            last_read,
        }
    }

    /// Generates the identifier of a change.
    pub(super) fn change_id(&self) -> ChangeId {
        let number: u64 = self.rng().random();
        ChangeId::new(&format!("{number:016x}"))
    }

    /// Returns the delay after a number of failed attempts.
    pub(super) fn retry_delay(&self, failed_attempts: u32) -> Duration {
        self.cfg.backoff.pause(failed_attempts, &mut *self.rng())
    }

    fn last_read(&self) -> Snapshot {
        self.lock_last_read().clone()
    }

    fn lock_last_read(&self) -> MutexGuard<'_, Snapshot> {
        self.last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the newest revision; the empty snapshot of revision zero if no change was ever made.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its value is not a catalog.
    pub async fn read(&self) -> Result<Snapshot, RepositoryError> {
        Ok(self.current().await?.snapshot)
    }

    /// Reads an earlier revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not hold the revision, or as [`Self::read`] does.
    pub async fn read_at(&self, revision: Revision) -> Result<Snapshot, RepositoryError> {
        let current = self.read().await?;
        if current.revision() == revision {
            return Ok(current);
        }
        let root = self.root_at(revision).await?;
        self.assemble(&current, root.ok_or(RepositoryError::NoRevision(revision))?)
            .await
    }

    /// Returns up to `limit` of the latest changes, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its value is not a catalog.
    pub async fn history(&self, limit: usize) -> Result<Vec<ChangeRecord>, RepositoryError> {
        let mut changes = match self.root().await? {
            Some((root, _)) => root.changes,
            None => Vec::new(),
        };
        while let Some(oldest) = changes.last() {
            let before = oldest.revision.0 - 1;
            if changes.len() >= limit || before == 0 {
                break;
            }
            match self.root_at(Revision(before)).await? {
                Some(root) => changes.extend(root.changes),
                None => break,
            }
        }
        changes.truncate(limit);
        Ok(changes)
    }

    pub(super) async fn current(&self) -> Result<StoredRevision, RepositoryError> {
        let mut attempts = 0;
        loop {
            let Some((root, stored)) = self.root().await? else {
                return Ok(StoredRevision {
                    snapshot: Snapshot::default(),
                    precondition: Precondition::Absent,
                    root_bytes: Bytes::new(),
                });
            };
            attempts += 1;
            match self.assemble(&self.last_read(), root).await {
                Ok(snapshot) => {
                    *self.lock_last_read() = snapshot.clone();
                    return Ok(StoredRevision {
                        snapshot,
                        precondition: Precondition::Version(stored.version),
                        root_bytes: stored.value,
                    });
                }
                // A later change removed the part after the root was read: read the new root.
                Err(RepositoryError::Snapshot {
                    source: SnapshotError::MissingPart(_),
                    ..
                }) if attempts < MAX_READ_ATTEMPTS => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub(super) async fn root(&self) -> Result<Option<(Root, Versioned)>, RepositoryError> {
        let stored = self.store.get(ROOT_KEY).await;
        let Some(stored) = stored.map_err(|e| e.at("read root"))? else {
            return Ok(None);
        };
        let root = decode_root(&stored.value)?;
        Ok(Some((root, stored)))
    }

    pub(super) async fn root_at(
        &self,
        revision: Revision,
    ) -> Result<Option<Root>, RepositoryError> {
        let stored = self.store.get(&history_key(revision)).await;
        let stored = stored.map_err(|e| e.at("read history"))?;
        stored.map(|s| decode_root(&s.value)).transpose()
    }

    async fn assemble(&self, base: &Snapshot, root: Root) -> Result<Snapshot, RepositoryError> {
        let revision = root.revision;
        let parts = read_parts(&*self.store, base.missing_parts(&root)).await?;
        base.advance(Arc::new(root), parts)
            .map_err(|source| RepositoryError::Snapshot { revision, source })
    }
}

/// Reads parts from the store. Those that do not exist are omitted.
pub(crate) async fn read_parts(
    store: &dyn Store,
    parts: Vec<(PartName, PartRef)>,
) -> Result<BTreeMap<PartName, Arc<str>>, StepError<StoreError>> {
    stream::iter(
        parts
            .into_iter()
            .map(|(name, part)| read_part(store, name, part)),
    )
    .buffer_unordered(MAX_CONCURRENT_READS)
    .try_filter_map(|found| async { Ok(found) })
    .try_collect()
    .await
}

async fn read_part(
    store: &dyn Store,
    name: PartName,
    part: PartRef,
) -> Result<Option<(PartName, Arc<str>)>, StepError<StoreError>> {
    let stored = store.get(&part.key).await.map_err(|e| e.at("read part"))?;
    let Some(stored) = stored else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&stored.value)
        .map_err(|e| StoreError::Malformed(e.to_string()).at("read part"))?;
    Ok(Some((name, text.into())))
}

fn decode_root(bytes: &[u8]) -> Result<Root, RepositoryError> {
    Root::decode(bytes).map_err(|e| RepositoryError::Snapshot {
        revision: Revision::default(),
        source: SnapshotError::Undecodable(e.to_string()),
    })
}
