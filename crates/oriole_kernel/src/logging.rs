//! Logs as JSON lines.
//!
//! Records carry request id, account name, upstream and step where they apply. Keys and bodies are
//! never logged.

use std::io::Write;
use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Records that may wait for the writer before newer ones are dropped and counted.
const LOG_QUEUE_RECORDS: usize = 4096;

/// A logger that writes JSON lines to standard error.
pub fn stderr_logger(process: &str, level: Level) -> Logger {
    writer_logger(process, level, std::io::stderr())
}

/// A logger that writes JSON lines to standard output.
///
/// # Errors
///
/// Fails with the allowed names if the level is none of them.
pub fn stdout_logger(process: &str, level: &str) -> eyre::Result<Logger> {
    let level = parse_level(level).map_err(|e| eyre::eyre!(e))?;
    Ok(writer_logger(process, level, std::io::stdout()))
}

/// A logger that writes JSON lines to a writer.
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

/// A logger that drops everything, for tests and embedded use.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Reads the name of a level.
///
/// # Errors
///
/// Fails with the allowed names.
pub fn parse_level(name: &str) -> Result<Level, String> {
    name.parse().map_err(|()| {
        format!("unknown level {name:?}: allowed are critical, error, warning, info, debug, trace")
    })
}
