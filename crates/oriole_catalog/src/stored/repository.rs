//! Reading and changing the stored catalog, for operators' tools.

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

/// Parts read at once.
const MAX_CONCURRENT_READS: usize = 8;
/// Reads of a whole revision before giving up because parts vanish under it.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Settings of a [`Repository`].
#[derive(Clone, Copy, Debug)]
pub struct RepositoryConfig {
    /// Longest time spent on finding out whether a change was accepted.
    pub settle_timeout: Duration,
    /// Pauses while finding out.
    pub backoff: oriole_store::backoff::Backoff,
    /// Revisions kept for history and rollback.
    pub kept_revisions: u64,
    /// Seed of everything random; random if absent.
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
    /// The store gave no value.
    #[error(transparent)]
    Store(#[from] StepError<StoreError>),
    /// What the store holds is not a catalog.
    #[error("revision {revision}: {source}")]
    Snapshot {
        /// Revision.
        revision: Revision,
        /// What is wrong.
        source: SnapshotError,
    },
    /// There is no such revision, or not any more.
    #[error("no revision {0}")]
    NoRevision(Revision),
}

/// The stored catalog.
///
/// Use [`Repository::change`] for every change: it ends in accepted, in a conflict that shows the
/// other's change, or in a clear refusal, whatever the store does meanwhile.
#[derive(Clone)]
pub struct Repository {
    pub(super) store: Arc<dyn Store>,
    pub(super) cfg: RepositoryConfig,
    rng: Arc<Mutex<StdRng>>,
    /// The revision read last; parts it shares with the next one are not read again.
    last_read: Arc<Mutex<Snapshot>>,
}

/// A whole revision with the version that its root has in the store.
pub(super) struct StoredRevision {
    pub(super) snapshot: Snapshot,
    /// What a compare-and-swap of the root must expect.
    pub(super) precondition: Precondition,
    /// The root as it is stored; empty if there is none.
    pub(super) root_bytes: Bytes,
}

impl Repository {
    /// The catalog in a store.
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

    /// A fresh name for a change.
    pub(super) fn change_id(&self) -> ChangeId {
        let number: u64 = self.rng().random();
        ChangeId::new(&format!("{number:016x}"))
    }

    /// The pause after some number of failed tries.
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

    /// The newest revision; the empty snapshot with revision zero if nothing was ever applied.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no value or holds something else.
    pub async fn read(&self) -> Result<Snapshot, RepositoryError> {
        Ok(self.current().await?.snapshot)
    }

    /// An earlier revision.
    ///
    /// # Errors
    ///
    /// Fails if there is no such revision any more, or as [`Self::read`] does.
    pub async fn read_at(&self, revision: Revision) -> Result<Snapshot, RepositoryError> {
        let current = self.read().await?;
        if current.revision() == revision {
            return Ok(current);
        }
        let root = self.root_at(revision).await?;
        self.assemble(&current, root.ok_or(RepositoryError::NoRevision(revision))?)
            .await
    }

    /// The latest changes, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no value or holds something else.
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
                // Trimmed since the root was read: the root has moved on.
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

/// Reads parts from the store; those that are not there are left out.
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
