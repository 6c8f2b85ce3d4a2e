//! `explain`: how requests of a catalog entry are handled, and why.

use oriole_types::prelude::*;
use serde::Serialize;

use crate::args::ExplainArgs;
use crate::commands::status::{UpstreamRow, upstream_rows, upstream_table};
use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::reply::Reply;

/// JSON reply.
#[derive(Serialize)]
struct ExplainReply<'a> {
    entry: &'a str,
    settings: &'a CatalogEntry,
    account: Option<&'a ClientAccount>,
    block: Option<(&'a str, &'a Block)>,
    findings: Vec<String>,
    upstreams: Vec<UpstreamRow>,
}

/// Explains how requests of an entry are handled; for one account if it is given.
pub(crate) async fn explain(ctl: &Ctl, args: &ExplainArgs) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let settings = find_named(&catalog.entries, "entry", &args.entry)?;
    let account = match &args.account {
        Some(name) => Some(find_named(&catalog.accounts, "account", name)?),
        None => None,
    };
    let block = find_block(&catalog, args);
    let polled = ctl.fleet.entries().await?;
    let mut upstreams = upstream_rows(&catalog, &polled);
    upstreams.retain(|u| u.pool() == settings.pool.as_str());
    let findings = findings(settings, account, block, &upstreams);
    let text = format!("{}\n\n{}", findings.join("\n"), upstream_table(&upstreams));
    let reply = ExplainReply {
        entry: &args.entry,
        settings,
        account,
        block,
        findings,
        upstreams,
    };
    Reply::new(text, &reply)
}

/// Looks up a name; the error lists the names that exist.
fn find_named<'a, N, T>(
    map: &'a std::collections::BTreeMap<N, T>,
    what: &'static str,
    name: &str,
) -> Result<&'a T, CtlError>
where
    N: Ord + std::borrow::Borrow<str> + ToString,
{
    map.get(name).ok_or_else(|| CtlError::NotFound {
        what,
        name: name.to_owned(),
        known: map.keys().map(ToString::to_string).collect(),
    })
}

/// The block that refuses all requests of the entry and account, if there is one.
fn find_block<'a>(catalog: &'a Catalog, args: &ExplainArgs) -> Option<(&'a str, &'a Block)> {
    let account = args.account.as_deref().unwrap_or_default();
    catalog.block_for(&account.into(), &args.entry.as_str().into(), None)
}

/// The explanation, one statement a line.
fn findings(
    entry: &CatalogEntry,
    account: Option<&ClientAccount>,
    block: Option<(&str, &Block)>,
    upstreams: &[UpstreamRow],
) -> Vec<String> {
    let mut lines = Vec::new();
    if let Some((name, block)) = block {
        lines.push(format!("refused: block {name} ({})", block.reason));
    }
    lines.push(if entry.class.idempotent {
        "idempotent: retried after a failure".to_owned()
    } else {
        "not idempotent: needs an Idempotency-Key and runs at most once".to_owned()
    });
    lines.push(format!(
        "entry limit {} requests/s, body up to {} bytes, timeout {} ms (at most {} ms)",
        entry.requests_per_s, entry.max_body_bytes, entry.default_timeout_ms, entry.max_timeout_ms
    ));
    if let Some(a) = account {
        lines.push(format!(
            "account limit {} requests/s with a burst of {}, {} in flight",
            a.requests_per_s, a.burst, a.max_in_flight
        ));
    }
    let in_service = upstreams.iter().filter(|u| u.takes_work()).count();
    lines.push(format!(
        "pool {}: {in_service} of {} upstreams take new work",
        entry.pool,
        upstreams.len()
    ));
    if in_service == 0 {
        lines.push("refused: no_upstream".to_owned());
    }
    lines
}
