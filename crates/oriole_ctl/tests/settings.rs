//! Parsing of settings, and commands that need neither settings nor a fleet.

use oriole_ctl::ctl::run_command_line;
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
    assert_eq!(e.exit_status(), ExitStatus::Invalid);
}

#[tokio::test]
async fn run_command_line_without_fleet() {
    let (text, exit) = run_command_line(&["--help"]).await;
    assert_eq!(exit, ExitStatus::Done);
    assert!(text.contains("rollback"));
    let (text, exit) = run_command_line(&["account-key", "--json"]).await;
    assert_eq!(exit, ExitStatus::Done);
    let reply: serde_json::Value = serde_json::from_str(&text).unwrap();
    let key = reply["key"].as_str().unwrap();
    let digest = oriole_types::digest::Digest::of(key.as_bytes());
    assert_eq!(reply["digest"], digest.to_string());
    let (_, exit) = run_command_line(&["--settings", "/nonexistent/ctl.toml", "get"]).await;
    assert_eq!(exit, ExitStatus::Invalid);
}
