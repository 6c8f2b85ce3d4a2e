//! The running daemon and upstreams that announce how many requests a second they take.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use tokio::time::Instant;

use crate::harness::{route, start_with_upstreams, upstream};

const LIMITED: &str =
    "HTTP/1.1 200 OK\r\nsignature: s\r\nlimit: 1\r\nContent-Length: 7\r\n\r\nlimited";
const UNLIMITED: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 9\r\n\r\nunlimited";

/// Window of the bound on an upstream's arrivals.
const WINDOW: Duration = Duration::from_secs(4);

/// Most arrivals in [`WINDOW`] under a limit of one a second: half as much again, and five.
const MAX_ARRIVALS: usize = 11;

fn count(requests: &Arc<Mutex<usize>>) -> usize {
    *requests.lock().unwrap()
}

/// An upstream must not get many more requests than the limit that it announces, while another one
/// has room.
#[tokio::test]
async fn announced_limit_bounds_requests_to_upstream() {
    let (limited, limited_count) = upstream(LIMITED).await;
    let (other, other_count) = upstream(UNLIMITED).await;
    let harness = start_with_upstreams(route(RouteKind::Idempotent), &[limited, other]).await;
    let until = Instant::now() + WINDOW;
    let mut asked = 0;
    while Instant::now() < until {
        let response = harness.post(&format!("r-{asked}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        asked += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let arrived = count(&limited_count);
    assert!(arrived <= MAX_ARRIVALS, "{arrived} of {asked}");
    assert!(arrived > 0, "the upstream got nothing");
    assert_eq!(arrived + count(&other_count), asked);
}
