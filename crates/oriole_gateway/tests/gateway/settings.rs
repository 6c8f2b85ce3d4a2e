//! Settings are validated before the daemon listens.

use std::path::Path;

use oriole_gateway::settings::GatewaySettings;
use oriole_kernel::settings::parse;
use rstest::rstest;

const VALID: &str = r#"
name = "edge-1"
domain = "north"
max_descriptors = 2870
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
endpoints = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[peers]
listen = "127.0.0.1:5"
seeds = ["127.0.0.1:9"]
[store]
address = "127.0.0.1:6"
[bounds]
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 196
cold_overage = 1.5
cold_allowance = 5
drain_ms = 2000
grace_s = 8
"#;

fn read(text: &str) -> Result<GatewaySettings, String> {
    parse(Path::new("gateway.toml"), text).map_err(|e| e.to_string())
}

#[test]
fn parse_valid_settings_is_ok() {
    assert_eq!(read(VALID).unwrap().bounds.retry_window_s, 10.0);
}

/// Older settings files have no `memory_mb`.
#[test]
fn parse_without_memory_uses_default() {
    assert_eq!(read(VALID).unwrap().memory_mb, 512);
}

#[rstest]
#[case::unknown_key("grace_s = 8", "grace_s = 8\ngrace = 9", "grace")]
#[case::no_name("name = \"edge-1\"", "name = \"\"", "name is empty")]
#[case::out_of_range("grace_s = 8", "grace_s = 0", "allowed are 0.5 to 600")]
#[case::not_an_address("127.0.0.1:6", "store", "address")]
#[case::little_memory(
    "max_descriptors = 2870",
    "max_descriptors = 2870\nmemory_mb = 31",
    "allowed are 32 to 1048576"
)]
#[case::much_memory(
    "max_descriptors = 2870",
    "max_descriptors = 2870\nmemory_mb = 1048577",
    "allowed are 32 to 1048576"
)]
#[case::few_descriptors("2870", "10", "allowed are 256 to")]
fn parse_invalid_settings_names_key_and_range(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let error = read(&VALID.replace(from, to)).unwrap_err();
    assert!(error.contains(expected), "{error}");
}
