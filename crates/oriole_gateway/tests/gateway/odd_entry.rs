//! Entries of other writers beside those of the upstreams.
//!
//! An inventory kept entries for the addresses of all upstreams under a service of its own. They
//! superseded the upstreams once the entry daemons had restarted, and nothing was served any more.

use std::net::SocketAddr;
use std::sync::Arc;

use oriole_fleet::prelude::*;
use oriole_gateway::fleet_view::FleetView;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::fake::{FakeDialect, item, put, removed, secs, services};
use crate::harness::{route, start_with_items};

/// A view whose configuration has the service `llm` only.
fn configured_view() -> FleetView {
    let dialect = FakeDialect {
        configuration: Some(Configuration {
            services: services(),
            ..Configuration::default()
        }),
        ..FakeDialect::default()
    };
    let mut view = FleetView::new(Arc::new(dialect), secs(1.8));
    view.apply(secs(0.0), put("cfg/0", "1", 1));
    view
}

fn usable(view: &FleetView, at: f64) -> Vec<String> {
    let upstreams = view.usable_upstreams(secs(at), "llm");
    let mut names: Vec<String> = upstreams.map(|u| u.upstream.instance.clone()).collect();
    names.sort();
    names
}

const WORKER: &str = "llm 10.0.0.1:80 north ready 1000";
const OTHER_SERVICE: &str = "inventory 10.0.0.1:80 north ready";
const OTHER_SERVICE_LATER: &str = "inventory 10.0.0.1:80 north ready 2000";
const OTHER_DRAINING: &str = "inventory 10.0.0.1:80 north draining 2000";
const NO_START: &str = "llm 10.0.0.1:80 north ready";

/// Whatever the order of arrival, an entry that names no upstream supersedes none.
#[rstest]
#[case::other_service(OTHER_SERVICE)]
#[case::other_service_started_later(OTHER_SERVICE_LATER)]
#[case::other_service_draining(OTHER_DRAINING)]
#[case::without_start(NO_START)]
fn apply_odd_entry_at_address_leaves_upstream_usable(
    #[case] odd: &str,
    #[values(true, false)] odd_is_last: bool,
) {
    let mut view = configured_view();
    let mut entries = [("up/odd", odd), ("up/worker", WORKER)];
    if odd_is_last {
        entries.reverse();
    }
    for (i, (key, entry)) in entries.into_iter().enumerate() {
        view.apply(secs(1.0 + i as f64), put(key, entry, i as u64 + 2));
    }
    assert!(usable(&view, 3.0).contains(&"worker".to_owned()));
}

/// A daemon that starts applies the listing in the order of the keys.
#[rstest]
#[case::other_service(OTHER_SERVICE)]
#[case::other_service_started_later(OTHER_SERVICE_LATER)]
#[case::without_start(NO_START)]
fn apply_listing_odd_entry_sorts_last_leaves_upstream_usable(#[case] odd: &str) {
    let mut view = configured_view();
    let items = vec![item("up/a", WORKER, 9), item("up/b", odd, 3)];
    view.apply_listing(secs(1.0), "up/", items, 12);
    assert!(usable(&view, 1.0).contains(&"a".to_owned()));
}

/// An upstream whose address no newer run holds any more is used again.
#[test]
fn apply_newer_run_removed_upstream_is_usable_again() {
    let mut view = configured_view();
    view.apply(secs(1.0), put("up/a", WORKER, 2));
    view.apply(
        secs(2.0),
        put("up/b", "llm 10.0.0.1:80 north ready 2000", 3),
    );
    assert_eq!(usable(&view, 2.0), ["b"]);
    view.apply(secs(9.0), removed("up/b", 4));
    assert_eq!(usable(&view, 9.0), ["a"]);
}

#[rstest]
#[case::unreadable("llm nowhere")]
#[case::moved("llm 10.0.0.2:80 north ready 2000")]
fn apply_newer_run_changed_upstream_is_usable_again(#[case] change: &str) {
    let mut view = configured_view();
    view.apply(secs(1.0), put("up/a", WORKER, 2));
    view.apply(
        secs(2.0),
        put("up/b", "llm 10.0.0.1:80 north ready 2000", 3),
    );
    view.apply(secs(9.0), put("up/b", change, 4));
    assert!(usable(&view, 9.0).contains(&"a".to_owned()));
}

/// A writer's copy of an entry looks like a newer run, until the upstream refuses its instance.
#[test]
fn refute_newer_run_upstream_is_usable_again() {
    let mut view = configured_view();
    view.apply(secs(1.0), put("up/a", WORKER, 2));
    view.apply(
        secs(1.0),
        put("up/b", "llm 10.0.0.1:80 north ready 2000", 3),
    );
    assert_eq!(usable(&view, 1.0), ["b"]);
    view.refute(secs(2.0), "b");
    assert_eq!(usable(&view, 2.0), ["a"]);
    // Later it may be tried again, but never takes the upstream's place.
    assert!(usable(&view, 60.0).contains(&"a".to_owned()));
}

/// A refusal that was meant for another must not take an upstream out of use for good.
#[test]
fn refute_upstream_is_tried_again_later() {
    let mut view = configured_view();
    view.apply(secs(1.0), put("up/a", WORKER, 2));
    view.refute(secs(2.0), "a");
    assert!(usable(&view, 2.0).is_empty());
    assert_eq!(usable(&view, 13.0), ["a"]);
}

/// Starts an upstream that refuses requests for any instance but `worker`, and those that expect a
/// version.
async fn start_worker() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            let req = String::from_utf8_lossy(&buf[..len]).into_owned();
            let id = req.split("attempt: ").nth(1).unwrap_or_default();
            let id = id.split("\r\n").next().unwrap_or_default();
            let is_meant = req.contains("expect: worker\r\n") && !req.contains("expect-version");
            let status = if is_meant { "200 OK" } else { "421 Other" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nattempt: {id}\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

#[rstest]
#[case::other_service("inventory", "")]
#[case::other_service_started_later("inventory", " 2000")]
#[case::without_start("llm", "")]
#[case::copy_started_later("llm", " 2000")]
#[tokio::test]
async fn serve_odd_entry_at_address_request_is_answered(
    #[case] service: &str,
    #[case] start: &str,
) {
    let address = start_worker().await;
    let items = vec![
        item("cfg/0", "3", 1),
        item("up/worker", &format!("llm {address} north ready 1000"), 9),
        item(
            "up/x",
            &format!("{service} {address} north ready{start}"),
            2,
        ),
    ];
    let harness = start_with_items(route(RouteKind::AtMostOnce), items, 0).await;
    for i in 0..4 {
        let answer = harness.post(&format!("r-{i}")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// One caller's expectation must not take an upstream out of use for all.
#[tokio::test]
async fn serve_caller_expects_other_version_upstream_stays_in_use() {
    let address = start_worker().await;
    let items = vec![
        item("cfg/0", "3", 1),
        item("up/worker", &format!("llm {address} north ready 1000"), 2),
    ];
    let harness = start_with_items(route(RouteKind::Idempotent), items, 0).await;
    let expecting = "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: v-1\r\nexpect-version: 7\r\n\
                     Content-Length: 2\r\nConnection: close\r\n\r\nhi";
    let answer = harness.send_until_ready(expecting).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = harness.post("r-1").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Only a configured service's entry shows that an address was taken over.
#[test]
fn apply_configuration_adds_service_its_entries_supersede() {
    let mut view = configured_view();
    view.apply(secs(1.0), put("up/a", WORKER, 2));
    view.apply(secs(1.0), put("up/b", OTHER_SERVICE_LATER, 3));
    assert_eq!(usable(&view, 1.0), ["a"]);
    let mut all = crate::fake::fleet_view();
    all.apply(secs(1.0), put("up/a", WORKER, 2));
    all.apply(secs(1.0), put("up/b", OTHER_SERVICE_LATER, 3));
    assert!(usable(&all, 1.0).is_empty(), "before any configuration");
    all.apply(secs(2.0), put("cfg/0", "1", 4));
    assert_eq!(usable(&all, 2.0), ["a"]);
}

/// Eight upstreams beside forty entries of another writer.
fn view_with_many_odd_entries() -> FleetView {
    let mut view = configured_view();
    for i in 1..=8 {
        let worker = format!("llm 10.0.0.{i}:80 n ready 1000");
        view.apply(secs(0.0), put(&format!("up/{i}"), &worker, i + 1));
    }
    for i in 0..40 {
        let odd = format!("inventory 10.0.1.{i}:80 n ready");
        view.apply(secs(0.0), put(&format!("up/odd-{i}"), &odd, 20 + i));
    }
    view
}

/// Entries of other writers must not hide that the leases of all upstreams expired together.
#[test]
fn apply_mass_lapse_beside_odd_entries_is_no_departure() {
    let mut view = view_with_many_odd_entries();
    for i in 1..=8 {
        view.apply(secs(9.0), removed(&format!("up/{i}"), 100 + i));
    }
    assert_eq!(usable(&view, 10.0).len(), 8);
}

/// Many entries of another writer that vanish together do not excuse a departure.
#[test]
fn apply_odd_entries_removed_departure_takes_effect_at_once() {
    let mut view = view_with_many_odd_entries();
    for i in 0..40 {
        view.apply(secs(9.0), removed(&format!("up/odd-{i}"), 100 + i));
    }
    view.apply(secs(9.1), removed("up/3", 200));
    assert!(!usable(&view, 9.1).contains(&"3".to_owned()));
}
