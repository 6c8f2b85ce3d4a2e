//! `oriolectl trace`: the decisions about one request, from log lines.

use oriole_ctl::ctl::run_command_line;
use oriole_ctl::error::ExitStatus;

/// Log lines of two processes, out of order, with the prefix of a log collector.
const LOG_LINES: &str = r#"
 1.0 edge-1 {"msg":"belief","level":"INFO","ts":"2026-01-02T03:04:01.5Z","process":"edge-1","version":9,"source":"store","change":"Configuration { version: 3 }"}
 1.2 edge-2 {"msg":"belief","level":"INFO","ts":"2026-01-02T03:04:01.6Z","process":"edge-2","version":9,"source":"peer","change":"Configuration { version: 3 }"}
 2.1 edge-1 {"msg":"attempt","level":"INFO","ts":"2026-01-02T03:04:02.9Z","process":"edge-1","took_ms":3,"reason":"refused by the upstream (503)","outcome":"NotRun","upstream":"i-1","attempt":1,"request":"abc"}
 2.0 edge-1 {"msg":"picked","level":"INFO","ts":"2026-01-02T03:04:02.8Z","process":"edge-1","in_flight":2,"upstream":"i-1","attempt":1,"request":"abc"}
 2.2 edge-1 {"msg":"refused","level":"INFO","ts":"2026-01-02T03:04:02.95Z","process":"edge-1","reason":"rejected","request":"abc"}
 2.3 edge-1 {"msg":"answered","level":"INFO","ts":"2026-01-02T03:04:02.96Z","process":"edge-1","request":"other"}
not a record
"#;

async fn trace(args: &[&str]) -> (String, ExitStatus) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    std::fs::write(&path, LOG_LINES).unwrap();
    let mut command = vec!["trace", "--log", path.to_str().unwrap()];
    command.extend(args);
    run_command_line(&command).await
}

#[tokio::test]
async fn trace_request_in_chronological_order() {
    let (text, exit) = trace(&["abc"]).await;
    assert_eq!(exit, ExitStatus::Done, "{text}");
    let messages: Vec<&str> = text
        .lines()
        .map(|l| l.split("  ").nth(2).unwrap())
        .collect();
    assert_eq!(messages, ["picked", "attempt", "refused"]);
    assert!(text.contains("reason=refused by the upstream (503)"));
}

#[tokio::test]
async fn trace_before_shows_state_changes_of_the_same_process() {
    let (text, _) = trace(&["abc", "--before-s", "5"]).await;
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(
        text.lines()
            .next()
            .unwrap()
            .contains("Configuration { version: 3 }")
    );
    assert!(!text.contains("edge-2"));
}

#[tokio::test]
async fn trace_unknown_request_fails() {
    let (text, exit) = trace(&["nobody"]).await;
    assert_ne!(exit, ExitStatus::Done);
    assert!(text.contains("no line about request"), "{text}");
}
