//! Changing the stored catalog by one compare-and-swap of its root.

use std::collections::BTreeMap;

use bytes::Bytes;
use metrics::counter;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::time::{Instant, sleep};

use super::part::{PartName, split};
use super::repository::{Current, Repository, RepositoryError};
use super::root::{ChangeId, ChangeRecord, PartRef, ROOT_KEY, Root, history_key};
use crate::edit::{Edit, EditError};
use crate::section::ItemPath;
use crate::validate::{Violation, violations};

/// TooManyConflicts lost to other changes before giving up.
const MAX_RACES: u32 = 32;
/// Tries of a write that may be repeated.
const WRITE_TRIES: u32 = 5;
/// Most items that a record of a change lists.
const MAX_ITEMS: usize = 8;

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
    #[error("lost {MAX_RACES} races against other changes")]
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
enum Commit {
    Won,
    Lost,
}

/// A root that is ready to be written.
struct Plan {
    id: ChangeId,
    root: Root,
    bytes: Bytes,
    expect: Precondition,
    fresh: BTreeMap<String, Bytes>,
}

impl Repository {
    /// Makes a change. It is rebased on whatever others changed meanwhile, unless they changed the
    /// same items.
    ///
    /// # Errors
    ///
    /// Every error but [`ChangeError::Unsettled`] means that nothing was changed.
    pub async fn change(&self, edit: &Edit, meta: &ChangeMeta) -> Result<Accepted, ChangeError> {
        let end = self.change_uncounted(edit, meta).await;
        let reason = end
            .as_ref()
            .map_or_else(ChangeError::reason, |_| "accepted");
        counter!("oriole_catalog_changes_total", "reason" => reason).increment(1);
        end
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
        for _ in 0..MAX_RACES {
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
            let plan = plan(self.change_id(), &current, &catalog, &effective, meta)?;
            self.write_fresh(&current, &plan).await?;
            match self.commit(&plan).await? {
                Commit::Won => {
                    let revision = plan.root.revision;
                    self.trim_before(revision).await;
                    let changed = true;
                    return Ok(Accepted { revision, changed });
                }
                Commit::Lost => self.discard(plan.fresh.into_keys().collect()).await,
            }
        }
        Err(ChangeError::TooManyConflicts)
    }

    /// Writes the new parts, and the root they follow into the history.
    async fn write_fresh(
        &self,
        current: &Current,
        plan: &Plan,
    ) -> Result<(), StepError<StoreError>> {
        for (key, bytes) in &plan.fresh {
            self.write_once(key, bytes).await?;
        }
        if current.root_bytes.is_empty() {
            return Ok(());
        }
        let key = history_key(current.snapshot.revision());
        self.write_once(&key, &current.root_bytes).await
    }

    /// Writes a value that has only one possible content; a conflict means that it is there.
    async fn write_once(&self, key: &str, bytes: &Bytes) -> Result<(), StepError<StoreError>> {
        let mut end = Ok(());
        for _ in 0..WRITE_TRIES {
            end = match self
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
        end
    }

    /// Swaps the root and finds out for certain whether it was swapped.
    ///
    /// After a lost answer the same swap is sent again: it expects the same version, so at most one
    /// of them takes effect, and once the root has another version none can any more.
    async fn commit(&self, plan: &Plan) -> Result<Commit, ChangeError> {
        let deadline = Instant::now() + self.cfg.settle_timeout;
        let mut in_doubt = false;
        let mut tries = 0;
        loop {
            let put = self.store.put(ROOT_KEY, plan.bytes.clone(), plan.expect);
            match put.await {
                Ok(_) => return Ok(Commit::Won),
                Err(StoreError::Conflict) if !in_doubt => return Ok(Commit::Lost),
                Err(StoreError::Conflict) => {}
                Err(e) if e.may_have_written() => in_doubt = true,
                Err(e) if !in_doubt => return Err(e.at("swap root").into()),
                Err(_) => {}
            }
            if let Ok(Some(commit)) = self.settle(plan).await {
                return Ok(commit);
            }
            tries += 1;
            let pause = self.pause(tries);
            if Instant::now() + pause >= deadline {
                return Err(ChangeError::Unsettled {
                    id: plan.id.clone(),
                    revision: plan.root.revision,
                });
            }
            sleep(pause).await;
        }
    }

    /// Looks for the change at the revision it would be; `None` while that is not decided.
    async fn settle(&self, plan: &Plan) -> Result<Option<Commit>, RepositoryError> {
        let revision = plan.root.revision;
        let Some((root, _)) = self.root().await? else {
            return Ok(None);
        };
        if root.revision < revision {
            return Ok(None);
        }
        let decided = match root.change_of(revision) {
            Some(change) => Some(change.id.clone()),
            None => self
                .root_at(revision)
                .await?
                .and_then(|r| r.change_of(revision).map(|c| c.id.clone())),
        };
        Ok(decided.map(|id| {
            if id == plan.id {
                Commit::Won
            } else {
                Commit::Lost
            }
        }))
    }
}

fn apply(edit: &Edit, current: &Current) -> Result<Catalog, ChangeError> {
    edit.apply(current.snapshot.catalog()).map_err(|e| match e {
        EditError::Overlap(items) => ChangeError::Conflict {
            others: others(edit, &items, current.snapshot.root()),
            items,
        },
        EditError::Shape(message) => ChangeError::Invalid(vec![Violation {
            key: "catalog".into(),
            message,
        }]),
    })
}

/// Changes since the edit's base that touched some items, or all if the records do not tell.
fn others(edit: &Edit, items: &[ItemPath], root: &Root) -> Vec<ChangeRecord> {
    let since = root.changes_after(edit.base);
    let names: Vec<_> = items.iter().map(ToString::to_string).collect();
    let touching: Vec<_> = since
        .iter()
        .filter(|c| c.items.iter().any(|i| names.contains(i)))
        .cloned()
        .collect();
    if touching.is_empty() { since } else { touching }
}

fn plan(
    id: ChangeId,
    current: &Current,
    catalog: &Catalog,
    edit: &Edit,
    meta: &ChangeMeta,
) -> Result<Plan, ChangeError> {
    let root = current.snapshot.root();
    let revision = root.revision.next();
    let mut fresh = BTreeMap::new();
    let mut parts = BTreeMap::new();
    for (name, text) in split(catalog).map_err(unwritable)? {
        let digest = Digest::of(text.as_bytes());
        let held = root.parts.get(&name).filter(|p| p.digest == digest);
        let part = held.cloned().unwrap_or_else(|| {
            let key = part_key(revision, &name, &id);
            fresh.insert(key.clone(), Bytes::copy_from_slice(text.as_bytes()));
            PartRef { key, digest }
        });
        parts.insert(name, part);
    }
    let root = root.next(parts, record(&id, revision, edit, meta));
    let bytes = root.encode().map_err(unwritable)?;
    let expect = current.expect;
    Ok(Plan {
        id,
        root,
        bytes,
        expect,
        fresh,
    })
}

/// Key of a part. No other change ever writes it, so it can be deleted once no kept root names it.
fn part_key(revision: Revision, name: &PartName, id: &ChangeId) -> String {
    format!("catalog/part/{:012}/{name}/{id}", revision.0)
}

fn record(id: &ChangeId, revision: Revision, edit: &Edit, meta: &ChangeMeta) -> ChangeRecord {
    let items = edit.changes.iter().take(MAX_ITEMS);
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

fn unwritable(e: serde_json::Error) -> ChangeError {
    ChangeError::Invalid(vec![Violation {
        key: "catalog".into(),
        message: e.to_string(),
    }])
}
