//! Removes old revisions from the store.

use oriole_store::prelude::*;
use oriole_types::prelude::*;

use super::repository::{Repository, RepositoryError};
use super::root::history_key;

impl Repository {
    /// Removes the oldest revision beyond the number to keep, and its parts that no later revision
    /// uses. Values that cannot be deleted are left in the store, which is harmless.
    pub(super) async fn trim_history(&self, newest: Revision) {
        let Some(oldest) = newest.0.checked_sub(self.cfg.kept_revisions) else {
            return;
        };
        let _ = self.trim(Revision(oldest)).await;
    }

    async fn trim(&self, revision: Revision) -> Result<(), RepositoryError> {
        let Some(old) = self.root_at(revision).await? else {
            return Ok(());
        };
        let Some(next) = self.root_at(revision.next()).await? else {
            return Ok(());
        };
        // A part is used by consecutive revisions only, so checking the next one is enough.
        let kept: Vec<_> = next.parts.values().map(|p| p.key.as_str()).collect();
        let keys = old.parts.values().map(|p| &p.key);
        let mut unused: Vec<_> = keys
            .filter(|k| !kept.contains(&k.as_str()))
            .cloned()
            .collect();
        unused.push(history_key(revision));
        self.delete_values(unused).await;
        Ok(())
    }

    /// Deletes values; failures are ignored.
    pub(super) async fn delete_values(&self, keys: Vec<String>) {
        for key in keys {
            let _ = self.store.delete(&key, Precondition::Any).await;
        }
    }
}
