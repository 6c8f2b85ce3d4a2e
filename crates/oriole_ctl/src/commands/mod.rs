//! Implementation of the commands.

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

/// JSON reply to an accepted change.
#[derive(Serialize)]
struct AcceptedReply {
    outcome: &'static str,
    revision: Revision,
    changed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<InForceReport>,
}

/// Builds the reply to an accepted change; with `wait`, first waits until every entry uses it.
pub(crate) async fn accepted_reply(
    ctl: &Ctl,
    accepted: Accepted,
    wait: bool,
) -> Result<Reply, CtlError> {
    let Accepted { revision, changed } = accepted;
    let mut text = if changed {
        format!("accepted as revision {revision}")
    } else {
        format!("nothing to change at revision {revision}")
    };
    let mut in_force = None;
    if wait {
        let timeout = ctl.settings.wait_timeout();
        let report = ctl.fleet.wait_until_in_force(revision, timeout).await?;
        text += &format!(
            "\nin force at {} entries after {} ms",
            report.entries, report.after_ms
        );
        in_force = Some(report);
    }
    let reply = AcceptedReply {
        outcome: "accepted",
        revision,
        changed,
        in_force,
    };
    Reply::new(text, &reply)
}
