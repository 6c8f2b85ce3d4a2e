//! `apply`, `get`, `diff`, `history` and `rollback`.

use std::path::Path;

use oriole_catalog::document::{Document, render};
use oriole_catalog::edit::{Edit, ItemChange};
use oriole_types::ids::Revision;
use serde::Serialize;
use serde_json::Value;

use crate::args::{ApplyArgs, DiffArgs, GetArgs, HistoryArgs, RollbackArgs};
use crate::commands::accepted_reply;
use crate::ctl::Ctl;
use crate::error::CtlError;
use crate::reply::{Reply, table};

/// Applies a document to the catalog; with `check`, only shows what it would change.
pub(crate) async fn apply(ctl: &Ctl, args: &ApplyArgs) -> Result<Reply, CtlError> {
    let edit = read_edit(ctl, &args.file).await?;
    if args.check {
        return changes_reply(&edit);
    }
    ctl.change(&edit, &args.message, args.wait).await
}

/// Prints a revision as a document.
pub(crate) async fn get(ctl: &Ctl, args: &GetArgs) -> Result<Reply, CtlError> {
    let snapshot = match args.revision {
        Some(revision) => ctl.repository.read_at(Revision(revision)).await?,
        None => ctl.repository.read().await?,
    };
    let catalog = snapshot.catalog();
    let text = render(catalog).map_err(|e| CtlError::Reply(e.to_string()))?;
    Reply::new(text, catalog)
}

/// Shows what a document would change.
pub(crate) async fn diff(ctl: &Ctl, args: &DiffArgs) -> Result<Reply, CtlError> {
    changes_reply(&read_edit(ctl, &args.file).await?)
}

/// Lists the changes of the catalog and their authors, newest first.
pub(crate) async fn history(ctl: &Ctl, args: &HistoryArgs) -> Result<Reply, CtlError> {
    let records = ctl.repository.history(args.limit).await?;
    let rows = records.iter().map(|c| {
        vec![
            c.revision.to_string(),
            c.at_unix_ms.to_string(),
            c.author.clone(),
            item_list(&c.items, c.item_count),
            c.message.clone(),
        ]
    });
    let header = ["revision", "at (unix ms)", "author", "items", "message"];
    Reply::new(table(&header, rows), &records)
}

/// Restores an earlier revision as a new one.
pub(crate) async fn rollback(ctl: &Ctl, args: &RollbackArgs) -> Result<Reply, CtlError> {
    let target = Revision(args.revision);
    let message = if args.message.is_empty() {
        format!("rollback to {target}")
    } else {
        args.message.clone()
    };
    let accepted = ctl
        .repository
        .rollback(target, &ctl.change_meta(&message))
        .await?;
    accepted_reply(ctl, accepted, args.wait).await
}

fn item_list(items: &[String], count: u64) -> String {
    let more = count - items.len() as u64;
    let mut text = items.join(" ");
    if more > 0 {
        text += &format!(" and {more} more");
    }
    text
}

/// Reads a document as an edit of the revision that it is based on; without one, of the newest.
async fn read_edit(ctl: &Ctl, file: &Path) -> Result<Edit, CtlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| CtlError::File {
        file: name.clone(),
        source,
    })?;
    let document = Document::parse(&name, &text)?;
    let base = match document.base {
        Some(revision) if revision > Revision(0) => ctl.repository.read_at(revision).await?,
        _ => ctl.repository.read().await?,
    };
    Ok(Edit::between(
        base.catalog(),
        &document.apply_to(base.catalog()),
    ))
}

/// A changed item in the JSON reply.
#[derive(Serialize)]
struct ChangedItem<'a> {
    item: String,
    before: Option<&'a Value>,
    after: Option<&'a Value>,
}

/// The changes of an edit, as lines of text or as JSON items.
fn changes_reply(edit: &Edit) -> Result<Reply, CtlError> {
    let items: Vec<_> = edit.changes.iter().map(changed_item).collect();
    let lines: Vec<_> = edit.changes.iter().map(change_line).collect();
    let text = if lines.is_empty() {
        "nothing to change".to_owned()
    } else {
        lines.join("\n")
    };
    Reply::new(text, &items)
}

fn changed_item(change: &ItemChange) -> ChangedItem<'_> {
    ChangedItem {
        item: change.path.to_string(),
        before: change.before.as_ref(),
        after: change.after.as_ref(),
    }
}

fn change_line(change: &ItemChange) -> String {
    let path = &change.path;
    match (&change.before, &change.after) {
        (None, Some(after)) => format!("+ {path} {after}"),
        (Some(before), None) => format!("- {path} {before}"),
        (Some(before), Some(after)) => format!("~ {path}{}", field_changes(before, after)),
        (None, None) => format!("  {path}"),
    }
}

/// Renders the fields that differ, each with both values.
fn field_changes(before: &Value, after: &Value) -> String {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return format!(" {before} -> {after}");
    };
    let mut text = String::new();
    for (field, value) in new {
        let previous = old.get(field).unwrap_or(&Value::Null);
        if previous != value {
            text += &format!(" {field}: {previous} -> {value}");
        }
    }
    text
}
