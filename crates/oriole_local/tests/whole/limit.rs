//! An upstream that announces how many requests a second it takes.

use std::time::Duration;

use oriole_local::platform::Upstream;
use oriole_local::prelude::*;

use crate::common::{Session, request, start};

const LOOKUP: &str = r#"{"depot":"chaguanas"}"#;

/// Requests in the window, and the pause between two.
const REQUESTS: usize = 80;
const PAUSE: Duration = Duration::from_millis(50);

/// Most requests in 4 s under a limit of one a second: half as much again, and five.
const MAX_IN_WINDOW: u64 = 11;

/// Callers are served by the other upstreams, and the limited one gets no more than it takes.
#[tokio::test(flavor = "multi_thread")]
async fn announced_limit_is_kept_on_the_whole_path() {
    let deployment = start(DeploymentName::Islandwash).await;
    let upstreams = &deployment.platform().upstreams;
    let limited = upstreams.iter().find_map(|vm| match &vm.upstream {
        Upstream::Service(service) => Some(service),
        Upstream::Engine(_) => None,
    });
    let limited = limited.expect("a service");
    limited.set_limit(Some(1.0));
    // The agent reads the limit with its next load report.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = limited.view().started;
    let session = Session::open(&deployment);
    for _ in 0..REQUESTS {
        let answer = session
            .caller
            .send(session.entry, &request("stock-lookups", LOOKUP))
            .await;
        let answer = answer.expect("answer");
        assert_eq!(answer.outcome, "complete", "{answer:?}");
        tokio::time::sleep(PAUSE).await;
    }
    let started = limited.view().started - before;
    assert!((1..=MAX_IN_WINDOW).contains(&started), "{started}");
}
