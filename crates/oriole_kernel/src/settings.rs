//! Reads and validates a daemon's TOML settings.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::KernelError;

/// Settings with validation rules beyond their types.
pub trait Settings: DeserializeOwned {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the key and the allowed values.
    fn check(&self) -> Result<(), String>;
}

/// Environment variable with the path of the settings file, used if the command line has none.
pub const SETTINGS_FILE_ENV: &str = "ORIOLEFIELD_NODE_FILE";

/// The path of the settings file: `path` from the command line, or else [`SETTINGS_FILE_ENV`].
///
/// # Errors
///
/// Fails if neither is set.
pub fn resolve_path(path: Option<PathBuf>) -> eyre::Result<PathBuf> {
    path.or_else(|| std::env::var_os(SETTINGS_FILE_ENV).map(PathBuf::from))
        .ok_or_else(|| eyre::eyre!("neither --settings nor {SETTINGS_FILE_ENV} is given"))
}

/// Reads and validates settings from a TOML file.
///
/// # Errors
///
/// Fails if the file cannot be read, contains an unknown key, or contains a value that is not
/// allowed. The message names the key; for TOML errors, which include unknown keys and wrong types,
/// it also names the line.
pub fn read<S: Settings>(path: &Path) -> Result<S, KernelError> {
    let text = std::fs::read_to_string(path).map_err(|e| settings_error(path, e.to_string()))?;
    parse(path, &text)
}

/// Reads a daemon's settings at its start. With `check`, prints the effective settings and returns
/// `None`, after which the daemon exits.
///
/// # Errors
///
/// As [`resolve_path`], [`read`] and [`render`].
pub fn load_at_start<S: Settings + Serialize>(
    path: Option<PathBuf>,
    check: bool,
) -> eyre::Result<Option<(PathBuf, S)>> {
    let path = resolve_path(path)?;
    let settings: S = read(&path)?;
    if check {
        print!("{}", render(&settings)?);
        return Ok(None);
    }
    Ok(Some((path, settings)))
}

/// Validates a changed settings file and returns the result as text for the log. Settings take effect
/// only at the start of a process, so a valid file changes nothing until the next start.
#[must_use]
pub fn validate_reload<S: Settings>(path: &Path) -> String {
    match read::<S>(path) {
        Ok(_) => "valid; the settings of the start stay in force".to_owned(),
        Err(e) => format!("refused: {e}"),
    }
}

/// Parses and validates settings from TOML text.
///
/// # Errors
///
/// As [`read`].
pub fn parse<S: Settings>(path: &Path, text: &str) -> Result<S, KernelError> {
    let settings: S =
        toml::from_str(text).map_err(|e| settings_error(path, e.to_string().trim().to_owned()))?;
    settings
        .check()
        .map_err(|message| settings_error(path, message))?;
    Ok(settings)
}

/// Returns the effective settings as TOML text, without fields that are not serialized, such as
/// secrets.
///
/// # Errors
///
/// Fails if the settings cannot be written as TOML.
pub fn render(settings: &impl Serialize) -> eyre::Result<String> {
    Ok(toml::to_string(settings)?)
}

fn settings_error(path: &Path, message: String) -> KernelError {
    KernelError::Settings {
        path: path.display().to_string(),
        message,
    }
}

/// Checks that a value is within a range.
///
/// # Errors
///
/// Fails with a message that names the key and the allowed range.
pub fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    let (min, max) = range.into_inner();
    Err(format!("{key} = {value}: allowed are {min} to {max}"))
}
