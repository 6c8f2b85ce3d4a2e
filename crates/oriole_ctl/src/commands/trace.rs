//! `trace`: the decisions about one request, from daemons' logs.

use std::io::Read;
use std::path::Path;

use serde_json::{Map, Value};

use crate::args::TraceArgs;
use crate::error::CtlError;
use crate::reply::Reply;

/// Fields that [`render`] does not print among the others: it prints them first or leaves them out.
const HEADER_FIELDS: [&str; 5] = ["ts", "process", "msg", "level", "request"];

/// Messages about a state change of the process rather than about one request.
const STATE_MESSAGES: [&str; 7] = [
    "belief",
    "store",
    "member",
    "pulled",
    "readiness",
    "started",
    "stopping",
];

/// Prints the decisions about a request in chronological order. With `before_s`, also prints the
/// state changes of the processes involved, from that many seconds before the first decision to the
/// last one.
pub(crate) fn trace(args: &TraceArgs) -> Result<Reply, CtlError> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|e| file_error(Path::new("standard input"), e))?;
        lines.extend(parse_records(&text));
    }
    for path in &args.logs {
        let text = std::fs::read_to_string(path).map_err(|e| file_error(path, e))?;
        lines.extend(parse_records(&text));
    }
    let request_lines: Vec<&Map<String, Value>> = lines
        .iter()
        .filter(|l| text_field(l, "request") == args.request)
        .collect();
    let Some(first) = request_lines.iter().map(|l| timestamp(l)).min() else {
        return Err(CtlError::Argument(format!(
            "no line about request {:?}: was the right process's log read?",
            args.request
        )));
    };
    let last = request_lines
        .iter()
        .map(|l| timestamp(l))
        .max()
        .unwrap_or("");
    let processes: Vec<&str> = request_lines
        .iter()
        .map(|l| text_field(l, "process"))
        .collect();
    let mut selected: Vec<&Map<String, Value>> = lines
        .iter()
        .filter(|l| {
            let is_state_change = STATE_MESSAGES.contains(&text_field(l, "msg"))
                && processes.contains(&text_field(l, "process"));
            let ts = timestamp(l);
            let is_recent =
                seconds_of_day(first) - seconds_of_day(ts) <= args.before_s as f64 && ts <= last;
            text_field(l, "request") == args.request
                || (args.before_s > 0 && is_state_change && is_recent)
        })
        .collect();
    selected.sort_by(|a, b| timestamp(a).cmp(timestamp(b)));
    let text: Vec<String> = selected.iter().map(|l| render(l)).collect();
    Reply::new(text.join("\n"), &selected)
}

fn file_error(path: &Path, source: std::io::Error) -> CtlError {
    CtlError::File {
        file: path.display().to_string(),
        source,
    }
}

/// Parses the JSON object of each line, if it has one. A log collector may prefix lines, so text
/// before the object is ignored.
fn parse_records(text: &str) -> impl Iterator<Item = Map<String, Value>> {
    text.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    })
}

fn text_field<'a>(line: &'a Map<String, Value>, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or("")
}

/// Timestamp of a line, without the `Z`. Fractions of a second vary in length, so with the `Z` the
/// order of the texts would not be chronological.
fn timestamp(line: &Map<String, Value>) -> &str {
    text_field(line, "ts").trim_end_matches('Z')
}

/// Seconds since midnight of a timestamp such as `2026-01-02T03:04:05.678`.
fn seconds_of_day(ts: &str) -> f64 {
    let time = ts.split('T').nth(1).unwrap_or("");
    time.split(':')
        .filter_map(|part| part.parse::<f64>().ok())
        .fold(0.0, |sum, part| sum * 60.0 + part)
}

fn render(line: &Map<String, Value>) -> String {
    let mut text = format!(
        "{}  {}  {}",
        text_field(line, "ts"),
        text_field(line, "process"),
        text_field(line, "msg")
    );
    for (field, value) in line {
        if HEADER_FIELDS.contains(&field.as_str()) || value.is_null() {
            continue;
        }
        match value {
            Value::String(value) => text.push_str(&format!("  {field}={value}")),
            value => text.push_str(&format!("  {field}={value}")),
        }
    }
    text
}
