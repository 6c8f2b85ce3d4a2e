//! Settings, help and commands that need no fleet.

use oriole_ctl::ctl::run_words;
use oriole_ctl::prelude::*;
use rstest::rstest;

#[rstest]
#[case::unknown_key(
    "store = \"127.0.0.1:1\"\nvm_list = \"127.0.0.1:2\"\nauthr = \"ada\"",
    ":3: unknown field `authr`"
)]
#[case::bad_address("store = \"platform\"", ":1: ")]
#[case::missing_key(
    "store = \"127.0.0.1:1\"\nvm_list = \"127.0.0.1:2\"",
    "missing field `author`"
)]
fn parse_invalid(#[case] text: &str, #[case] expected: &str) {
    let e = Settings::parse("ctl.toml", text).unwrap_err();
    assert!(e.to_string().contains(expected), "{e}");
    assert_eq!(e.exit(), Exit::Invalid);
}

#[tokio::test]
async fn run_words_without_fleet() {
    let (text, exit) = run_words(&["--help"]).await;
    assert_eq!(exit, Exit::Done);
    assert!(text.contains("rollback"));
    let (text, exit) = run_words(&["account-key", "--json"]).await;
    assert_eq!(exit, Exit::Done);
    let reply: serde_json::Value = serde_json::from_str(&text).unwrap();
    let key = reply["key"].as_str().unwrap();
    let digest = oriole_types::digest::Digest::of(key.as_bytes());
    assert_eq!(reply["digest"], digest.to_string());
    let (_, exit) = run_words(&["--settings", "/nonexistent/ctl.toml", "get"]).await;
    assert_eq!(exit, Exit::Invalid);
}
