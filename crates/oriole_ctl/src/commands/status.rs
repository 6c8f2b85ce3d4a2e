//! `status`: the state of the entries, the upstreams and the model groups.

use std::collections::BTreeMap;

use oriole_types::prelude::*;
use serde::Serialize;

use crate::args::StatusArgs;
use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::fleet::{GroupState, PolledEntry, SwitchState, UpstreamStatus};
use crate::reply::{Reply, table};

/// An entry in the reply.
#[derive(Serialize)]
struct EntryRow {
    name: String,
    domain: String,
    state: String,
    revision: Option<Revision>,
    config_age_ms: Option<u64>,
    service: ServiceState,
}

/// An upstream in the reply, merged from the status of all entries.
#[derive(Clone, Serialize)]
pub(crate) struct UpstreamRow {
    name: String,
    pool: String,
    domain: String,
    service: ServiceState,
    /// Number of entries that use it.
    entries: usize,
    cold: bool,
    limit: u32,
    in_flight: u32,
    leaving: bool,
}

impl UpstreamRow {
    pub(crate) fn pool(&self) -> &str {
        &self.pool
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.service == ServiceState::InService && !self.leaving
    }
}

/// JSON reply of `status`.
#[derive(Serialize)]
struct StatusReply {
    revision: Revision,
    entries: Vec<EntryRow>,
    upstreams: Vec<UpstreamRow>,
}

/// JSON reply of `status group`.
#[derive(Serialize)]
struct GroupReply<'a> {
    group: &'a str,
    settings: &'a Group,
    state: Option<&'a GroupState>,
    upstreams: Vec<UpstreamRow>,
}

/// Shows the entries and upstreams, or the state of one group.
pub(crate) async fn status(ctl: &Ctl, args: &StatusArgs) -> Result<Reply, CtlError> {
    match args.scope.as_slice() {
        [] => fleet_status(ctl).await,
        [kind, name] if kind == "group" => group_status(ctl, name).await,
        _ => Err(CtlError::Argument(
            "allowed: status, status group NAME".to_owned(),
        )),
    }
}

async fn fleet_status(ctl: &Ctl) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let polled = ctl.fleet.entries().await?;
    let entries: Vec<_> = polled.iter().map(|e| entry_row(&catalog, e)).collect();
    let upstreams = upstream_rows(&catalog, &polled);
    let text = format!(
        "catalog revision {}\n\n{}\n\n{}",
        catalog.revision,
        entry_table(&entries),
        upstream_table(&upstreams)
    );
    let revision = catalog.revision;
    Reply::new(
        text,
        &StatusReply {
            revision,
            entries,
            upstreams,
        },
    )
}

async fn group_status(ctl: &Ctl, name: &str) -> Result<Reply, CtlError> {
    let catalog = ctl.catalog().await?;
    let Some(group) = catalog.groups.get(name) else {
        return Err(CtlError::NotFound {
            what: "group",
            name: name.to_owned(),
            known: catalog.groups.keys().map(ToString::to_string).collect(),
        });
    };
    let polled = ctl.fleet.entries().await?;
    let mut upstreams = upstream_rows(&catalog, &polled);
    upstreams.retain(|u| u.pool == group.pool.as_str());
    let state = group_state(&polled, name);
    let text = format!(
        "group {name}: {} ranks in pool {}, {} experts x {} layers, {} slots a rank\n{}\n\n{}",
        group.ranks,
        group.pool,
        group.experts,
        group.layers,
        group.slots_per_rank,
        group_state_text(state),
        upstream_table(&upstreams)
    );
    Reply::new(
        text,
        &GroupReply {
            group: name,
            settings: group,
            state,
            upstreams,
        },
    )
}

/// The newest state of a group that any entry knows: of the latest coordinator, the newest report.
fn group_state<'a>(polled: &'a [PolledEntry], name: &str) -> Option<&'a GroupState> {
    let statuses = polled.iter().filter_map(|e| e.status.as_ref().ok());
    let groups = statuses.flat_map(|s| &s.groups).filter(|g| g.name == name);
    groups.max_by_key(|g| (g.fence, std::cmp::Reverse(g.age_ms)))
}

fn group_state_text(state: Option<&GroupState>) -> String {
    let Some(state) = state else {
        return "no coordinator is known".to_owned();
    };
    let map = match (state.map_version, &state.map_digest) {
        (Some(version), Some(digest)) => format!("{version} ({})", short_digest(digest)),
        _ => "none".to_owned(),
    };
    let mut lines = vec![
        format!("map:         {map}, step {}", state.step),
        format!("skew:        {:.3}", state.skew),
        format!("phase:       {}", state.phase),
        format!(
            "coordinator: {}, fence {}, heard {} ms ago",
            state.coordinator, state.fence, state.age_ms
        ),
        format!("stragglers:  {}", join_or_none(&state.stragglers)),
        format!("silent:      {}", join_or_none(&state.silent)),
    ];
    match &state.last_switch {
        Some(last) => lines.extend(switch_lines(last)),
        None => lines.push("last switch: none".to_owned()),
    }
    lines.join("\n")
}

fn switch_lines(last: &SwitchState) -> Vec<String> {
    let outcome = match (&last.failure, last.committed) {
        (_, true) => "in force".to_owned(),
        (Some(failure), false) => format!("failed: {failure}"),
        (None, false) => "failed".to_owned(),
    };
    let mut lines = vec![format!(
        "last switch: map {}, {}, {outcome}, skew {:.3} to {:.3}, {} experts moved",
        last.map_version, last.reason, last.skew_before, last.skew_after, last.move_count
    )];
    lines.extend(last.moves.iter().map(|m| {
        format!(
            "  layer {}: rank {} read expert {} in place of {}",
            m.layer, m.rank, m.expert, m.evicted
        )
    }));
    lines
}

/// The first 12 digits of a digest.
fn short_digest(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}

fn join_or_none<T: ToString>(ranks: &[T]) -> String {
    if ranks.is_empty() {
        return "none".to_owned();
    }
    let ranks: Vec<String> = ranks.iter().map(T::to_string).collect();
    ranks.join(", ")
}

fn entry_row(catalog: &Catalog, polled: &PolledEntry) -> EntryRow {
    let status = polled.status.as_ref();
    let state = match status {
        Ok(status) => status.state.clone(),
        Err(reason) => reason.to_string(),
    };
    EntryRow {
        name: polled.vm.name.to_string(),
        domain: polled.vm.domain.to_string(),
        state,
        revision: status.ok().map(|s| s.revision),
        config_age_ms: status.ok().and_then(|s| s.config_age_ms),
        service: service_state(catalog, &polled.vm.name, &polled.vm.domain),
    }
}

fn service_state(catalog: &Catalog, vm: &VmName, domain: &DomainName) -> ServiceState {
    if catalog.is_in_service(vm, domain) {
        ServiceState::InService
    } else {
        ServiceState::Drained
    }
}

/// Merges the upstreams of all entries by name. Where entries differ, the row shows the lowest
/// limit and the highest number in flight, and is cold or leaving if any entry says so.
pub(crate) fn upstream_rows(catalog: &Catalog, polled: &[PolledEntry]) -> Vec<UpstreamRow> {
    let mut rows: BTreeMap<String, UpstreamRow> = BTreeMap::new();
    let statuses = polled.iter().filter_map(|e| e.status.as_ref().ok());
    for u in statuses.flat_map(|s| &s.upstreams) {
        let row = rows
            .entry(u.name.clone())
            .or_insert_with(|| upstream_row(catalog, u));
        row.entries += 1;
        row.cold |= u.cold;
        row.leaving |= u.leaving;
        row.limit = row.limit.min(u.limit);
        row.in_flight = row.in_flight.max(u.in_flight);
    }
    rows.into_values().collect()
}

/// A row with the values of one entry, and a count of 0 entries.
fn upstream_row(catalog: &Catalog, u: &UpstreamStatus) -> UpstreamRow {
    let vm = VmName::new(&u.name);
    let domain = DomainName::new(&u.domain);
    UpstreamRow {
        name: u.name.clone(),
        pool: u.pool.clone(),
        domain: u.domain.clone(),
        service: service_state(catalog, &vm, &domain),
        entries: 0,
        cold: u.cold,
        limit: u.limit,
        in_flight: u.in_flight,
        leaving: u.leaving,
    }
}

fn entry_table(rows: &[EntryRow]) -> String {
    let header = [
        "entry",
        "domain",
        "state",
        "revision",
        "config age",
        "service",
    ];
    let rows = rows.iter().map(|r| {
        vec![
            r.name.clone(),
            r.domain.clone(),
            r.state.clone(),
            r.revision.map_or("-".into(), |v| v.to_string()),
            r.config_age_ms.map_or("-".into(), |ms| format!("{ms} ms")),
            service_text(r.service).to_owned(),
        ]
    });
    table(&header, rows)
}

pub(crate) fn upstream_table(rows: &[UpstreamRow]) -> String {
    let header = [
        "upstream",
        "pool",
        "domain",
        "service",
        "entries",
        "state",
        "limit",
        "in flight",
    ];
    let rows = rows.iter().map(|r| {
        let state = match (r.leaving, r.cold) {
            (true, _) => "leaving",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        vec![
            r.name.clone(),
            r.pool.clone(),
            r.domain.clone(),
            service_text(r.service).to_owned(),
            r.entries.to_string(),
            state.to_owned(),
            r.limit.to_string(),
            r.in_flight.to_string(),
        ]
    });
    table(&header, rows)
}

fn service_text(state: ServiceState) -> &'static str {
    match state {
        ServiceState::InService => "in service",
        ServiceState::Drained => "drained",
    }
}
