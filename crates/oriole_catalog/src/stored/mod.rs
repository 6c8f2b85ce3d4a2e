//! The stored catalog: a root value, the parts that it names, and the roots of earlier revisions.

mod change;
mod delta;
mod part;
mod repository;
mod root;
mod snapshot;
mod trim;

pub use change::{Accepted, ChangeError, ChangeMeta};
pub use delta::Delta;
pub use part::{PartName, split_into_parts};
pub(crate) use repository::read_parts;
pub use repository::{Repository, RepositoryConfig, RepositoryError};
pub use root::{ChangeId, ChangeRecord, PartRef, ROOT_KEY, Root, history_key};
pub use snapshot::{Bundle, Snapshot, SnapshotError};
