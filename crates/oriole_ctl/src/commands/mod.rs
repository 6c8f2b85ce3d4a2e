//! What each command does.

pub mod account_key;
pub mod block;
pub mod catalog;
pub mod explain;
pub mod service;
pub mod status;
pub mod trace;

use oriole_catalog::stored::Accepted;
use oriole_types::ids::Revision;
use serde::Serialize;

use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::fleet::InForceReport;
use crate::reply::Reply;

/// Reply to a change.
#[derive(Serialize)]
struct AcceptedReply {
    outcome: &'static str,
    revision: Revision,
    changed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<InForceReport>,
}

/// Tells that a change was accepted; waits before that until it is in force, if wanted.
pub(crate) async fn accepted(ctl: &Ctl, end: Accepted, wait: bool) -> Result<Reply, CtlError> {
    let Accepted { revision, changed } = end;
    let mut text = if changed {
        format!("accepted as revision {revision}")
    } else {
        format!("nothing to change at revision {revision}")
    };
    let mut in_force = None;
    if wait {
        let longest = ctl.settings.wait_timeout();
        let seen = ctl.fleet.wait_until_in_force(revision, longest).await?;
        text += &format!(
            "\nin force at {} entries after {} ms",
            seen.entries, seen.after_ms
        );
        in_force = Some(seen);
    }
    let reply = AcceptedReply {
        outcome: "accepted",
        revision,
        changed,
        in_force,
    };
    Reply::new(text, &reply)
}
