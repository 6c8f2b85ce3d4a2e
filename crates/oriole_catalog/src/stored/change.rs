//! Changing the stored catalog by one compare-and-swap of its root.

use std::collections::BTreeMap;

use bytes::Bytes;
use metrics::counter;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::time::{Instant, sleep};

use super::part::{PartName, split_into_parts};
use super::repository::{Repository, RepositoryError, StoredRevision};
use super::root::{ChangeId, ChangeRecord, PartRef, ROOT_KEY, Root, history_key};
use crate::edit::{Edit, EditError};
use crate::section::ItemPath;
use crate::validate::{Violation, violations};

/// Swaps of the root that may be lost to other changes before giving up.
const MAX_COMMIT_ATTEMPTS: u32 = 32;
/// Tries of a write that may be repeated.
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// Most items that a record of a change lists.
const MAX_RECORDED_ITEMS: usize = 8;

/// Who makes a change, when and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMeta {
    /// Who.
    pub author: String,
    /// Why.
    pub message: String,
    /// When, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// An accepted change; it is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that holds the change.
    pub revision: Revision,
    /// Whether the change made the revision; false if nothing was left to change.
    pub changed: bool,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// Somebody else changed the same items.
    #[error("{}", conflict(.items, .others))]
    Conflict {
        /// The items.
        items: Vec<ItemPath>,
        /// The others' changes since the revision this one started from, newest first.
        others: Vec<ChangeRecord>,
    },
    /// The outcome would not be a valid catalog.
    #[error("{}", invalid(.0))]
    Invalid(Vec<Violation>),
    /// The stored catalog could not be read or written; nothing was changed.
    #[error(transparent)]
    Repository(#[from] RepositoryError),
    /// Others' changes kept coming first; nothing was changed.
    #[error("lost {MAX_COMMIT_ATTEMPTS} races against other changes")]
    TooManyConflicts,
    /// The store gave no answer in time: nobody knows yet whether the change was accepted.
    #[error("change {id} may have been accepted as revision {revision}; the store does not answer")]
    Unsettled {
        /// The change.
        id: ChangeId,
        /// Revision it would be.
        revision: Revision,
    },
}

fn conflict(items: &[ItemPath], others: &[ChangeRecord]) -> String {
    use std::fmt::Write as _;
    let items: Vec<_> = items.iter().map(ToString::to_string).collect();
    let mut text = format!("changed meanwhile by others: {}", items.join(", "));
    for c in others {
        let _ = write!(
            text,
            "\n  revision {} by {}: {}",
            c.revision, c.author, c.message
        );
    }
    text
}

fn invalid(violations: &[Violation]) -> String {
    let lines: Vec<_> = violations.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl From<StepError<StoreError>> for ChangeError {
    fn from(e: StepError<StoreError>) -> Self {
        Self::Repository(e.into())
    }
}

impl ChangeError {
    fn reason(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::Invalid(_) => "invalid",
            Self::Repository(_) => "store",
            Self::TooManyConflicts => "races",
            Self::Unsettled { .. } => "unsettled",
        }
    }
}

/// How a compare-and-swap of the root ended.
enum CommitOutcome {
    Applied,
    Superseded,
}

/// A root that is ready to be written.
struct PreparedChange {
    id: ChangeId,
    root: Root,
    bytes: Bytes,
    precondition: Precondition,
    new_parts: BTreeMap<String, Bytes>,
}

impl Repository {
    /// Makes a change. It is rebased on whatever others changed meanwhile, unless they changed the
    /// same items.
    ///
    /// # Errors
    ///
    /// Every error but [`ChangeError::Unsettled`] means that nothing was changed.
    pub async fn change(&self, edit: &Edit, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
        let result = self.change_uncounted(edit, meta).await;
        let reason = result
            .as_ref()
            .map_or_else(ChangeError::reason, |_| "accepted");
        counter!("oriole_catalog_changes_total", "reason" => reason).increment(1);
        result
    }

    /// Makes the catalog what it was at an earlier revision, as a new revision.
    ///
    /// # Errors
    ///
    /// As [`Self::change`], and if there is no such revision any more.
    pub async fn rollback(&self, to: Revision, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
        let target = self.read_at(to).await?;
        let current = self.read().await?;
        let edit = Edit::between(current.catalog(), target.catalog());
        self.change(&edit, meta).await
    }

    async fn change_uncounted(
        &self,
        edit: &Edit,
        meta: &ChangeMeta,
    ) -> Result<Accepted, ChangeError> {
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            let current = self.current().await?;
            let catalog = apply(edit, &current)?;
            let effective = Edit::between(current.snapshot.catalog(), &catalog);
            if effective.is_empty() {
                return Ok(Accepted {
                    revision: current.snapshot.revision(),
                    changed: false,
                });
            }
            let found = violations(&catalog);
            if !found.is_empty() {
                return Err(ChangeError::Invalid(found));
            }
            let prepared = prepare(self.change_id(), &current, &catalog, &effective, meta)?;
            self.write_new_parts(&current, &prepared).await?;
            match self.commit(&prepared).await? {
                CommitOutcome::Applied => {
                    let revision = prepared.root.revision;
                    self.trim_history(revision).await;
                    let changed = true;
                    return Ok(Accepted { revision, changed });
                }
                CommitOutcome::Superseded => {
                    self.delete_values(prepared.new_parts.into_keys().collect())
                        .await;
                }
            }
        }
        Err(ChangeError::TooManyConflicts)
    }

    /// Writes the new parts, and the root they follow into the history.
    async fn write_new_parts(
        &self,
        current: &StoredRevision,
        prepared: &PreparedChange,
    ) -> Result<(), StepError<StoreError>> {
        for (key, bytes) in &prepared.new_parts {
            self.put_if_absent(key, bytes).await?;
        }
        if current.root_bytes.is_empty() {
            return Ok(());
        }
        let key = history_key(current.snapshot.revision());
        self.put_if_absent(&key, &current.root_bytes).await
    }

    /// Writes a value that has only one possible content; a conflict means that it is there.
    async fn put_if_absent(&self, key: &str, bytes: &Bytes) -> Result<(), StepError<StoreError>> {
        let mut result = Ok(());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            result = match self
                .store
                .put(key, bytes.clone(), Precondition::Absent)
                .await
            {
                Ok(_) | Err(StoreError::Conflict) => return Ok(()),
                Err(e) if e.may_have_written() => Err(e.at("write part")),
                Err(e) => return Err(e.at("write part")),
            };
            if let Ok(Some(_)) = self.store.get(key).await {
                return Ok(());
            }
        }
        result
    }

    /// Swaps the root and finds out for certain whether it was swapped.
    ///
    /// After a lost answer the same swap is sent again: it expects the same version, so at most one
    /// of them takes effect, and once the root has another version none can any more.
    async fn commit(&self, prepared: &PreparedChange) -> Result<CommitOutcome, ChangeError> {
        let deadline = Instant::now() + self.cfg.settle_timeout;
        let mut in_doubt = false;
        let mut attempts = 0;
        loop {
            let put = self
                .store
                .put(ROOT_KEY, prepared.bytes.clone(), prepared.precondition);
            match put.await {
                Ok(_) => return Ok(CommitOutcome::Applied),
                Err(StoreError::Conflict) if !in_doubt => return Ok(CommitOutcome::Superseded),
                Err(StoreError::Conflict) => {}
                Err(e) if e.may_have_written() => in_doubt = true,
                Err(e) if !in_doubt => return Err(e.at("swap root").into()),
                Err(_) => {}
            }
            if let Ok(Some(commit)) = self.find_outcome(prepared).await {
                return Ok(commit);
            }
            attempts += 1;
            let delay = self.retry_delay(attempts);
            if Instant::now() + delay >= deadline {
                return Err(ChangeError::Unsettled {
                    id: prepared.id.clone(),
                    revision: prepared.root.revision,
                });
            }
            sleep(delay).await;
        }
    }

    /// Looks for the change at the revision it would be; `None` while that is not decided.
    async fn find_outcome(
        &self,
        prepared: &PreparedChange,
    ) -> Result<Option<CommitOutcome>, RepositoryError> {
        let revision = prepared.root.revision;
        let Some((root, _)) = self.root().await? else {
            return Ok(None);
        };
        if root.revision < revision {
            return Ok(None);
        }
        let decided = match root.change_for(revision) {
            Some(change) => Some(change.id.clone()),
            None => self
                .root_at(revision)
                .await?
                .and_then(|r| r.change_for(revision).map(|c| c.id.clone())),
        };
        Ok(decided.map(|id| {
            if id == prepared.id {
                CommitOutcome::Applied
            } else {
                CommitOutcome::Superseded
            }
        }))
    }
}

fn apply(edit: &Edit, current: &StoredRevision) -> Result<Catalog, ChangeError> {
    edit.apply(current.snapshot.catalog()).map_err(|e| match e {
        EditError::Overlap(items) => ChangeError::Conflict {
            others: overlapping_changes(edit, &items, current.snapshot.root()),
            items,
        },
        EditError::Malformed(message) => ChangeError::Invalid(vec![Violation {
            key: "catalog".into(),
            message,
        }]),
    })
}

/// Changes since the edit's base that touched some items, or all if the records do not tell.
fn overlapping_changes(edit: &Edit, items: &[ItemPath], root: &Root) -> Vec<ChangeRecord> {
    let since = root.changes_after(edit.base);
    let names: Vec<_> = items.iter().map(ToString::to_string).collect();
    let touching: Vec<_> = since
        .iter()
        .filter(|c| c.items.iter().any(|i| names.contains(i)))
        .cloned()
        .collect();
    if touching.is_empty() { since } else { touching }
}

fn prepare(
    id: ChangeId,
    current: &StoredRevision,
    catalog: &Catalog,
    edit: &Edit,
    meta: &ChangeMeta,
) -> Result<PreparedChange, ChangeError> {
    let root = current.snapshot.root();
    let revision = root.revision.next();
    let mut new_parts = BTreeMap::new();
    let mut parts = BTreeMap::new();
    for (name, text) in split_into_parts(catalog).map_err(encode_error)? {
        let digest = Digest::of(text.as_bytes());
        let unchanged = root.parts.get(&name).filter(|p| p.digest == digest);
        let part = unchanged.cloned().unwrap_or_else(|| {
            let key = part_key(revision, &name, &id);
            new_parts.insert(key.clone(), Bytes::copy_from_slice(text.as_bytes()));
            PartRef { key, digest }
        });
        parts.insert(name, part);
    }
    let root = root.successor(parts, change_record(&id, revision, edit, meta));
    let bytes = root.encode().map_err(encode_error)?;
    let precondition = current.precondition;
    Ok(PreparedChange {
        id,
        root,
        bytes,
        precondition,
        new_parts,
    })
}

/// Key of a part. No other change ever writes it, so it can be deleted once no kept root names it.
fn part_key(revision: Revision, name: &PartName, id: &ChangeId) -> String {
    format!("catalog/part/{:012}/{name}/{id}", revision.0)
}

fn change_record(
    id: &ChangeId,
    revision: Revision,
    edit: &Edit,
    meta: &ChangeMeta,
) -> ChangeRecord {
    let items = edit.changes.iter().take(MAX_RECORDED_ITEMS);
    ChangeRecord {
        id: id.clone(),
        revision,
        author: meta.author.clone(),
        at_unix_ms: meta.at_unix_ms,
        message: meta.message.clone(),
        items: items.map(|c| c.path.to_string()).collect(),
        item_count: edit.changes.len() as u64,
    }
}

fn encode_error(e: serde_json::Error) -> ChangeError {
    ChangeError::Invalid(vec![Violation {
        key: "catalog".into(),
        message: e.to_string(),
    }])
}
