//! Stand-ins and clients of the cases. Runs one case: `standins CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cluster;
mod endless_body;
mod garbled_head;
mod http;
mod late_stream;
mod odd_entry;
mod preempted_stream;
mod store;
mod worker;

use std::path::Path;

use cluster::Record;

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(record));
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let run: fn(&Record, bool) -> Verdict = match case.as_str() {
        "late-stream" => late_stream::run,
        "odd-entry" => odd_entry::run,
        "preempted-stream" => preempted_stream::run,
        "garbled-head" => garbled_head::run,
        "endless-body" => endless_body::run,
        _ => |_, _| Verdict::NotRun,
    };
    // Unwinding ends the processes that the case has started.
    let verdict =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&record, has_trouble)));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}
