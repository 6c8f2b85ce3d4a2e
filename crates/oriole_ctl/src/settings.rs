//! Settings of the command line.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::CtlError;

/// Contents of the settings file (TOML).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Author of changes, as the history shows it.
    pub author: String,
    /// Timeout of `--wait`, in milliseconds.
    #[serde(default = "default_wait_timeout_ms")]
    pub wait_timeout_ms: u64,
    /// Timeout of one answer from an entry or the VM list, in milliseconds.
    #[serde(default = "default_answer_timeout_ms")]
    pub answer_timeout_ms: u64,
    /// Maximum time spent finding out whether a change was accepted, in milliseconds.
    #[serde(default = "default_settle_timeout_ms")]
    pub settle_timeout_ms: u64,
}

fn default_wait_timeout_ms() -> u64 {
    30_000
}

fn default_answer_timeout_ms() -> u64 {
    2_000
}

fn default_settle_timeout_ms() -> u64 {
    60_000
}

impl Settings {
    /// Creates settings with default timeouts.
    #[must_use]
    pub fn new(store: SocketAddr, vm_list: SocketAddr, author: &str) -> Self {
        Self {
            store,
            vm_list,
            author: author.to_owned(),
            wait_timeout_ms: default_wait_timeout_ms(),
            answer_timeout_ms: default_answer_timeout_ms(),
            settle_timeout_ms: default_settle_timeout_ms(),
        }
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed; a parse error names the file and line.
    pub fn read(path: &Path) -> Result<Self, CtlError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| CtlError::File {
            file: file.clone(),
            source,
        })?;
        Self::parse(&file, &text)
    }

    /// Parses settings; `file` is the file name for error messages.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and the cause.
    pub fn parse(file: &str, text: &str) -> Result<Self, CtlError> {
        toml::from_str(text).map_err(|e| {
            let start = e.span().map_or(0, |span| span.start);
            let line = text[..start].matches('\n').count() + 1;
            CtlError::Settings(format!("{file}:{line}: {}", e.message()))
        })
    }

    pub(crate) fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_timeout_ms)
    }

    pub(crate) fn wait_timeout(&self) -> Duration {
        Duration::from_millis(self.wait_timeout_ms)
    }
}
