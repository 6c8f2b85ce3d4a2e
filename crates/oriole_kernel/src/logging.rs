//! Logs as JSON lines.
//!
//! Where they apply, records have the request id, account name, upstream and step as fields. Keys and
//! bodies must not be logged.

use std::io::Write;
use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Size of the writer's queue, in records. While it is full, new records are dropped and counted.
const LOG_QUEUE_RECORDS: usize = 4096;

/// Creates a logger that writes JSON lines to standard error.
pub fn stderr_logger(process: &str, level: Level) -> Logger {
    writer_logger(process, level, std::io::stderr())
}

/// Creates a logger that writes JSON lines to standard output.
///
/// # Errors
///
/// Fails if `level` is not the name of a level; the message lists the allowed names.
pub fn stdout_logger(process: &str, level: &str) -> eyre::Result<Logger> {
    let level = parse_level(level).map_err(|e| eyre::eyre!(e))?;
    Ok(writer_logger(process, level, std::io::stdout()))
}

/// Creates a logger that writes JSON lines to `w`.
pub fn writer_logger<W: Write + Send + 'static>(process: &str, level: Level, w: W) -> Logger {
    let json = Mutex::new(slog_json::Json::default(w)).map(slog::Fuse);
    let queue = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE_RECORDS)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(queue, level).fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}

/// Creates a logger that discards all records, for tests and embedded use.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Parses the name of a level.
///
/// # Errors
///
/// Fails if no level has the name; the message lists the allowed names.
pub fn parse_level(name: &str) -> Result<Level, String> {
    name.parse().map_err(|()| {
        format!("unknown level {name:?}: allowed are critical, error, warning, info, debug, trace")
    })
}
