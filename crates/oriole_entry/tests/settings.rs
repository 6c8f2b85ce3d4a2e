//! Settings of an entry that limit its memory.

use oriole_entry::settings::EntrySettings;
use oriole_kernel::settings::parse;
use rstest::rstest;

const SETTINGS: &str = r#"
    name = "entry-1"
    domain = "gela"
    address = "127.0.0.1:0"
    peer_address = "127.0.0.1:0"
    store = "127.0.0.1:7001"
    vm_list = "127.0.0.1:7002"
    fleet_secrets = ["0123456789abcdef"]
"#;

/// A memory that leaves no room for ordinary requests, or that no VM has, is a mistake in the file.
#[rstest]
#[case::below_least(31, false)]
#[case::least(32, true)]
#[case::most(1_048_576, true)]
#[case::above_most(1_048_577, false)]
fn parse_memory_mb(#[case] memory_mb: u64, #[case] valid: bool) {
    let text = format!("{SETTINGS}\nmemory_mb = {memory_mb}");
    let settings = parse::<EntrySettings>("entry.toml".as_ref(), &text);
    match settings {
        Ok(settings) => assert!(valid && settings.memory_mb == memory_mb),
        Err(e) => assert!(!valid && e.to_string().contains("memory_mb"), "{e}"),
    }
}
