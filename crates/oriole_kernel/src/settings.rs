//! Reading and checking a daemon's TOML settings.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::KernelError;

/// Settings that can check themselves beyond their types.
pub trait Settings: DeserializeOwned {
    /// Checks values against each other.
    ///
    /// # Errors
    ///
    /// Returns a message that names the key and the allowed values.
    fn check(&self) -> Result<(), String>;
}

/// Variable that names the settings file if the command line does not.
pub const SETTINGS_FILE_ENV: &str = "ORIOLEFIELD_NODE_FILE";

/// The settings file of the command line, or else of [`SETTINGS_FILE_ENV`].
///
/// # Errors
///
/// Fails if neither names one.
pub fn resolve_path(path: Option<PathBuf>) -> eyre::Result<PathBuf> {
    path.or_else(|| std::env::var_os(SETTINGS_FILE_ENV).map(PathBuf::from))
        .ok_or_else(|| eyre::eyre!("neither --settings nor {SETTINGS_FILE_ENV} is given"))
}

/// Reads settings from a TOML file and checks them.
///
/// # Errors
///
/// Fails if the file cannot be read, names an unknown key, or holds a value that is not allowed;
/// the message names line and key.
pub fn read<S: Settings>(path: &Path) -> Result<S, KernelError> {
    let text = std::fs::read_to_string(path).map_err(|e| settings_error(path, e.to_string()))?;
    parse(path, &text)
}

/// Reads a daemon's settings at its start. With `check` what would be in force is printed, and
/// `None` returned.
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

/// Reads a settings file again on request and tells what came of it. Addresses and bounds hold from
/// the start to the end of a process, so that a valid file changes nothing before the next start.
#[must_use]
pub fn validate_reload<S: Settings>(path: &Path) -> String {
    match read::<S>(path) {
        Ok(_) => "valid; the settings of the start stay in force".to_owned(),
        Err(e) => format!("refused: {e}"),
    }
}

/// Parses settings from TOML text and checks them.
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

/// The settings in force as TOML text; fields that are not serialized, such as secrets, are left
/// out.
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

/// Checks that a number lies in a range.
///
/// # Errors
///
/// Fails with the key and the allowed values.
pub fn check_range(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    let (min, max) = range.into_inner();
    Err(format!("{key} = {value}: allowed are {min} to {max}"))
}
