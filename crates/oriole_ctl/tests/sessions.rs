//! Snapshots of whole operator sessions: commands, output and exit codes.

mod common;

use common::Session;
use oriole_standins::store::StoreFault;

const CATALOG: &str = include_str!("data/catalog.toml");

/// A session in which the first catalog is already applied.
async fn open() -> Session {
    let mut session = Session::open().await;
    session.write_file("catalog.toml", CATALOG);
    session
        .run("ada", "apply catalog.toml -m first --wait")
        .await;
    session
}

#[tokio::test]
async fn session_apply() {
    let mut s = open().await;
    s.run("ada", "get").await;
    s.run("ada", "apply catalog.toml").await;
    s.write_file(
        "changed.toml",
        &CATALOG.replace("requests_per_s = 50", "requests_per_s = 80"),
    );
    s.run("ada", "diff changed.toml").await;
    s.run("ada", "apply changed.toml --check").await;
    s.run("ada", "apply changed.toml --wait --json").await;
    s.run("ada", "get --revision 1 --json").await;
    s.run("ada", "get --revision 9").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_conflict() {
    let mut s = open().await;
    let based_on_1 = format!("revision = 1\n{CATALOG}");
    s.note("Both start from revision 1.");
    s.write_file(
        "ada.toml",
        &based_on_1.replace("requests_per_s = 50", "requests_per_s = 80"),
    );
    s.write_file(
        "bob.toml",
        &based_on_1.replace("requests_per_s = 50", "requests_per_s = 10"),
    );
    s.write_file(
        "eve.toml",
        &based_on_1.replace("max_in_flight = 8", "max_in_flight = 16"),
    );
    s.run("ada", "apply ada.toml -m more-credits").await;
    s.run("bob", "apply bob.toml -m fewer-credits").await;
    s.run("bob", "apply bob.toml --json").await;
    s.note("Another item is no conflict.");
    s.run("eve", "apply eve.toml").await;
    s.run("eve", "history").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_lost_answer_and_outage() {
    let mut s = open().await;
    s.note("Every answer to a write is lost.");
    s.server.set_fault(StoreFault::LoseAnswers);
    s.run("ada", "domain drain gela").await;
    s.note("The store is down.");
    s.server.set_fault(StoreFault::Down);
    s.run("ada", "domain return gela").await;
    s.run("ada", "domain return gela --json").await;
    s.server.set_fault(StoreFault::Up);
    s.run("ada", "history --limit 1").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_invalid() {
    let mut s = open().await;
    let wrong = CATALOG
        .replace("pool = \"ledger\"", "pool = \"leger\"")
        .replace("max_in_flight = 8", "max_in_fligth = 8")
        .replace("kind = \"service\"", "kind = \"disk\"");
    s.write_file("wrong.toml", &wrong);
    s.run("ada", "apply wrong.toml").await;
    s.run("ada", "apply wrong.toml --json").await;
    s.write_file(
        "leger.toml",
        &CATALOG.replace("pool = \"ledger\"", "pool = \"leger\""),
    );
    s.run("ada", "apply leger.toml").await;
    s.run("ada", "apply nowhere.toml").await;
    s.run("ada", "domain remove gela").await;
    s.run("ada", "history").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_drain_and_return() {
    let mut s = open().await;
    s.run("ada", "domain drain gela --wait").await;
    s.run("ada", "status").await;
    s.run("ada", "explain credits --account gela-laundry").await;
    s.note("A document that says nothing of it does not return it.");
    s.run("bob", "apply catalog.toml").await;
    s.run("ada", "domain return gela --wait --json").await;
    s.run("ada", "vm drain ledger-1").await;
    s.run("ada", "vm drain ledger-9").await;
    s.run("ada", "vm return ledger-1").await;
    s.run("ada", "domain drain palermo").await;
    s.run("ada", "status --json").await;
    s.run("ada", "history").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_block_and_release() {
    let mut s = open().await;
    s.run(
        "ada",
        "block add loop --account gela-laundry --entry credits --reason looping",
    )
    .await;
    s.run("ada", "explain credits --account gela-laundry").await;
    s.run("ada", "block add all --reason everything").await;
    s.run("ada", "block remove loop").await;
    s.run("ada", "block remove loop").await;
    let digest = "00000000000000000000000000000000000000000000000000000000000000ff";
    s.run("ada", &format!("release {digest}")).await;
    s.run("ada", "release ff").await;
    s.run("ada", "status group nothing").await;
    insta::assert_snapshot!(s.text());
}

/// Two groups: the fixture's entries report a coordinator for `sorters` and none for `idle`.
const GROUPS: &str = r#"
[pools.sorter]
kind = "engine"
cold_concurrency = 2
warm_concurrency = 24

[groups.sorters]
pool = "sorter"
ranks = 2
experts = 64
layers = 2
slots_per_rank = 34
expert_bytes = 1048576
weight_bytes_per_s = 1073741824

[groups.idle]
pool = "sorter"
ranks = 2
experts = 64
layers = 2
slots_per_rank = 34
expert_bytes = 1048576
weight_bytes_per_s = 1073741824
"#;

#[tokio::test]
async fn session_group_status() {
    let mut s = open().await;
    s.write_file("groups.toml", &format!("{CATALOG}{GROUPS}"));
    s.run("ada", "apply groups.toml --wait").await;
    s.run("ada", "status group sorters").await;
    s.run("ada", "status group sorters --json").await;
    s.run("ada", "status group idle").await;
    insta::assert_snapshot!(s.text());
}

#[tokio::test]
async fn session_history_and_rollback() {
    let mut s = open().await;
    s.run("ada", "vm drain ledger-1").await;
    s.run("bob", "block add loop --entry credits --reason looping")
        .await;
    s.run("ada", "rollback 1 --wait").await;
    s.run("ada", "rollback 17").await;
    s.run("ada", "diff catalog.toml").await;
    s.note("An empty section is emptied.");
    s.write_file("closed.toml", "[entries]");
    s.run("ada", "diff closed.toml").await;
    s.run("ada", "history").await;
    insta::assert_snapshot!(s.text());
}
