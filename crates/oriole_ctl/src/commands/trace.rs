//! The decisions about one request, from daemons' log lines.

use std::io::Read;
use std::path::Path;

use serde_json::{Map, Value};

use crate::args::TraceArgs;
use crate::error::CtlError;
use crate::reply::Reply;

/// Fields that stand before the others, or that tell nothing about a decision.
const LEADING: [&str; 5] = ["ts", "process", "msg", "level", "request"];

/// Kinds of lines about what a process believes rather than about one request.
const BELIEFS: [&str; 7] = [
    "belief",
    "store",
    "member",
    "pulled",
    "readiness",
    "started",
    "stopping",
];

/// Prints the decisions about a request in the order of their times, and, if wanted, what the
/// processes that made them came to believe shortly before.
pub(crate) fn trace(args: &TraceArgs) -> Result<Reply, CtlError> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|e| file_error(Path::new("standard input"), e))?;
        lines.extend(records(&text));
    }
    for path in &args.logs {
        let text = std::fs::read_to_string(path).map_err(|e| file_error(path, e))?;
        lines.extend(records(&text));
    }
    let about: Vec<&Map<String, Value>> = lines
        .iter()
        .filter(|l| text_of(l, "request") == args.request)
        .collect();
    let Some(first) = about.iter().map(|l| time_of(l)).min() else {
        return Err(CtlError::Argument(format!(
            "no line about request {:?}: was the right process's log read?",
            args.request
        )));
    };
    let last = about.iter().map(|l| time_of(l)).max().unwrap_or("");
    let processes: Vec<&str> = about.iter().map(|l| text_of(l, "process")).collect();
    let mut chosen: Vec<&Map<String, Value>> = lines
        .iter()
        .filter(|l| {
            let is_belief =
                BELIEFS.contains(&text_of(l, "msg")) && processes.contains(&text_of(l, "process"));
            let ts = time_of(l);
            let is_near = seconds(first) - seconds(ts) <= args.before_s as f64 && ts <= last;
            text_of(l, "request") == args.request || (args.before_s > 0 && is_belief && is_near)
        })
        .collect();
    chosen.sort_by(|a, b| time_of(a).cmp(time_of(b)));
    let text: Vec<String> = chosen.iter().map(|l| render(l)).collect();
    Reply::new(text.join("\n"), &chosen)
}

fn file_error(path: &Path, source: std::io::Error) -> CtlError {
    CtlError::File {
        file: path.display().to_string(),
        source,
    }
}

/// The JSON objects among lines; a collector may have put words of its own before them.
fn records(text: &str) -> impl Iterator<Item = Map<String, Value>> {
    text.lines().filter_map(|line| {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    })
}

fn text_of<'a>(line: &'a Map<String, Value>, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or("")
}

/// The time of a line. Fractions differ in length, so that the zone would sort before a digit.
fn time_of(line: &Map<String, Value>) -> &str {
    text_of(line, "ts").trim_end_matches('Z')
}

/// Seconds within the day of a time such as `2026-01-02T03:04:05.678`.
fn seconds(ts: &str) -> f64 {
    let time = ts.split('T').nth(1).unwrap_or("");
    time.split(':')
        .filter_map(|part| part.parse::<f64>().ok())
        .fold(0.0, |sum, part| sum * 60.0 + part)
}

fn render(line: &Map<String, Value>) -> String {
    let mut text = format!(
        "{}  {}  {}",
        text_of(line, "ts"),
        text_of(line, "process"),
        text_of(line, "msg")
    );
    for (field, value) in line {
        if LEADING.contains(&field.as_str()) || value.is_null() {
            continue;
        }
        match value {
            Value::String(value) => text.push_str(&format!("  {field}={value}")),
            value => text.push_str(&format!("  {field}={value}")),
        }
    }
    text
}
