//! Processor time and memory of this process, read from `/proc/self`.

use std::time::Duration;

use eyre::{OptionExt, eyre};

/// Clock ticks per second in which `/proc/self/stat` gives processor time.
const TICKS_PER_S: f64 = 100.0;

/// Kilobytes in a megabyte.
const KB_PER_MB: f64 = 1024.0;

/// Returns the user and system time of all threads.
///
/// # Errors
///
/// Fails if `/proc/self/stat` cannot be read or parsed.
pub fn cpu_time() -> eyre::Result<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').ok_or_eyre("no process name")?;
    let mut fields = fields.split_whitespace().skip(11);
    let mut ticks = || -> eyre::Result<f64> {
        let field = fields.next().ok_or_eyre("no processor time")?;
        Ok(field.parse()?)
    };
    let total = ticks()? + ticks()?;
    Ok(Duration::from_secs_f64(total / TICKS_PER_S))
}

/// Returns the resident memory in megabytes.
///
/// # Errors
///
/// Fails if `/proc/self/status` cannot be read or parsed.
pub fn resident_mb() -> eyre::Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or_eyre("no resident memory")?;
    let kb = line.split_whitespace().next();
    let kb: f64 = kb.ok_or_else(|| eyre!("no figure in {line:?}"))?.parse()?;
    Ok(kb / KB_PER_MB)
}
