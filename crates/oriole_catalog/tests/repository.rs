//! Changes to the stored catalog: concurrent changes, lost answers, conflicts, history and rollback.

use std::sync::Arc;

use oriole_catalog::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

fn meta(author: &str) -> ChangeMeta {
    ChangeMeta {
        author: author.into(),
        message: format!("by {author}"),
        at_unix_ms: 1_000,
    }
}

fn drain(catalog: &Catalog, domain: &str) -> Edit {
    Edit::from_fn(catalog, |c| {
        let state = ServiceState::Drained;
        let domain = c.domains.entry(domain.into());
        let region = String::new();
        domain.or_insert(FailureDomain { region, state }).state = state;
    })
}

fn open() -> (MemoryStore, Repository) {
    let store = MemoryStore::new();
    let cfg = RepositoryConfig {
        kept_revisions: 4,
        ..RepositoryConfig::default()
    };
    let repository = Repository::open(Arc::new(store.clone()), cfg);
    (store, repository)
}

#[tokio::test]
async fn change_first_revision() {
    let (_, repository) = open();
    let edit = drain(&Catalog::default(), "gela");
    let accepted = repository.change(&edit, &meta("ada")).await.unwrap();
    assert_eq!(accepted.revision, Revision(1));
    let snapshot = repository.read().await.unwrap();
    assert_eq!(snapshot.catalog().revision, Revision(1));
    let state = snapshot.catalog().domain_state(&"gela".into());
    assert_eq!(state, ServiceState::Drained);
    let again = repository.change(&edit, &meta("bob")).await.unwrap();
    assert!(!again.changed);
}

#[tokio::test]
async fn change_rebases_on_other_items() {
    let (_, repository) = open();
    let base = Catalog::default();
    let ours = drain(&base, "gela");
    let theirs = drain(&base, "enna");
    repository.change(&theirs, &meta("bob")).await.unwrap();
    let accepted = repository.change(&ours, &meta("ada")).await.unwrap();
    assert_eq!(accepted.revision, Revision(2));
    let domains = &repository.read().await.unwrap().catalog().domains.len();
    assert_eq!(*domains, 2);
}

#[tokio::test]
async fn change_conflict_shows_other() {
    let (_, repository) = open();
    let base = Catalog::default();
    let theirs = Edit::from_fn(&base, |c| {
        c.domains.insert("gela".into(), domain("sicily"));
    });
    repository.change(&theirs, &meta("bob")).await.unwrap();
    let result = repository.change(&drain(&base, "gela"), &meta("ada")).await;
    let expected = "changed meanwhile by others: domains.gela\n  revision 1 by bob: by bob";
    assert_eq!(result.unwrap_err().to_string(), expected);
    assert_eq!(repository.read().await.unwrap().revision(), Revision(1));
}

fn domain(region: &str) -> FailureDomain {
    FailureDomain {
        region: region.into(),
        state: ServiceState::InService,
    }
}

#[rstest]
#[case::answer(WriteFault::LoseAnswer)]
#[case::request(WriteFault::LoseRequest)]
#[tokio::test(start_paused = true)]
async fn change_settles_lost(#[case] fault: WriteFault) {
    let (store, repository) = open();
    store.queue_write_fault(fault);
    store.queue_write_fault(fault);
    let edit = drain(&Catalog::default(), "gela");
    let accepted = repository.change(&edit, &meta("ada")).await.unwrap();
    assert_eq!((accepted.revision, accepted.changed), (Revision(1), true));
    assert_eq!(repository.read().await.unwrap().revision(), Revision(1));
}

#[tokio::test(start_paused = true)]
async fn change_settles_all_answers_lost() {
    let (store, repository) = open();
    store.set_fault(StoreFault::LoseAnswers);
    let edit = drain(&Catalog::default(), "gela");
    let accepted = repository.change(&edit, &meta("ada")).await.unwrap();
    assert_eq!(accepted.revision, Revision(1));
}

#[tokio::test]
async fn change_in_outage() {
    let (store, repository) = open();
    store.set_fault(StoreFault::Down);
    let edit = drain(&Catalog::default(), "gela");
    let result = repository.change(&edit, &meta("ada")).await;
    assert!(matches!(result, Err(ChangeError::Repository(_))));
}

#[tokio::test]
async fn change_invalid_changes_nothing() {
    let (store, repository) = open();
    let edit = Edit::from_fn(&Catalog::default(), |c| {
        let reason = String::new();
        let (account, entry, key) = (None, None, None);
        let block = Block {
            account,
            entry,
            key,
            reason,
        };
        c.blocks.insert("b".into(), block);
    });
    let result = repository.change(&edit, &meta("ada")).await;
    assert!(matches!(result, Err(ChangeError::Invalid(_))));
    assert_eq!(store.counts().writes, 0);
}

#[tokio::test]
async fn rollback_is_new_revision_and_old_ones_are_trimmed() {
    let (_, repository) = open();
    for (i, name) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
        let catalog = Arc::clone(repository.read().await.unwrap().catalog());
        assert_eq!(catalog.revision.0, i as u64);
        let result = repository.change(&drain(&catalog, name), &meta(name)).await;
        result.unwrap();
    }
    let result = repository.rollback(Revision(4), &meta("ada")).await;
    assert_eq!(result.unwrap().revision, Revision(7));
    let catalog = Arc::clone(repository.read().await.unwrap().catalog());
    assert_eq!(catalog.domains.len(), 4);
    let authors: Vec<_> = repository.history(3).await.unwrap();
    let authors: Vec<_> = authors.iter().map(|c| c.author.as_str()).collect();
    assert_eq!(authors, ["ada", "f", "e"]);
    let gone = repository.rollback(Revision(2), &meta("ada")).await;
    assert_eq!(gone.unwrap_err().to_string(), "no revision 2");
    for revision in 4..=7 {
        let snapshot = repository.read_at(Revision(revision)).await.unwrap();
        assert_eq!(snapshot.revision(), Revision(revision));
    }
}
