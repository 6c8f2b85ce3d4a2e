//! Changes the stored catalog with a compare-and-swap of its root.

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

/// Number of swaps of the root that may be lost to other changes before a change fails.
const MAX_COMMIT_ATTEMPTS: u32 = 32;
/// Attempts to write a part or a root of the history.
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// Maximum number of items that a change record lists.
const MAX_RECORDED_ITEMS: usize = 8;

/// Author, time and reason of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeMeta {
    /// Author of the change.
    pub author: String,
    /// Reason, in the author's words.
    pub message: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An accepted change. It is stored durably.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that contains the change.
    pub revision: Revision,
    /// Whether the change created a revision; `false` if the catalog already was as requested.
    pub changed: bool,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// Another change modified the same items.
    #[error("{}", conflict(.items, .others))]
    Conflict {
        /// The items modified by both.
        items: Vec<ItemPath>,
        /// Changes since the revision that this one is based on, newest first.
        others: Vec<ChangeRecord>,
    },
    /// The changed catalog would be invalid.
    #[error("{}", invalid(.0))]
    Invalid(Vec<Violation>),
    /// The stored catalog could not be read or written; nothing was changed.
    #[error(transparent)]
    Repository(#[from] RepositoryError),
    /// Other changes won every swap of the root; nothing was changed.
    #[error("lost {MAX_COMMIT_ATTEMPTS} races against other changes")]
    TooManyConflicts,
    /// The store did not answer in time: the change may or may not have been accepted.
    #[error("change {id} may have been accepted as revision {revision}; the store does not answer")]
    Unsettled {
        /// Identifier of the change.
        id: ChangeId,
        /// Revision that the change creates if it was accepted.
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

/// Outcome of a compare-and-swap of the root.
enum CommitOutcome {
    Applied,
    /// Another change swapped the root first.
    Superseded,
}

/// A new root with the parts to write before it.
struct PreparedChange {
    id: ChangeId,
    root: Root,
    bytes: Bytes,
    /// Precondition of the swap of the root.
    precondition: Precondition,
    /// Contents of the new parts, by store key.
    new_parts: BTreeMap<String, Bytes>,
}

impl Repository {
    /// Makes a change. It is rebased on changes accepted in the meantime, unless these modified the
    /// same items.
    ///
    /// # Errors
    ///
    /// Every error except [`ChangeError::Unsettled`] means that nothing was changed.
    pub async fn change(&self, edit: &Edit, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
        let result = self.try_change(edit, meta).await;
        let reason = result
            .as_ref()
            .map_or_else(ChangeError::reason, |_| "accepted");
        counter!("oriole_catalog_changes_total", "reason" => reason).increment(1);
        result
    }

    /// Restores the catalog of an earlier revision as a new revision.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::change`] does, and if the store no longer holds that revision.
    pub async fn rollback(&self, to: Revision, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
        let target = self.read_at(to).await?;
        let current = self.read().await?;
        let edit = Edit::between(current.catalog(), target.catalog());
        self.change(&edit, meta).await
    }

    async fn try_change(&self, edit: &Edit, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
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

    /// Writes the new parts, and copies the current root into the history.
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

    /// Writes a value under a key that always has the same content, so a conflict means that the
    /// value is already there.
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

    /// Swaps the root and determines whether the swap took effect.
    ///
    /// After a lost answer the same swap is sent again. All attempts expect the same version, so at
    /// most one takes effect, and none can once the root has another version.
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

    /// Looks up which change created the revision of `prepared`; `None` while that is undecided.
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

/// Returns the changes since the base of the edit that list one of `items`. Records list only some
/// of their items, so all changes are returned if none lists one of these.
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

/// Returns the store key of a part. It contains the change id, so no other change writes it and it
/// can be deleted once no stored root names it.
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
