//! Results of commands, as text or JSON.

use serde::Serialize;
use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::error::CtlError;

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Output for people.
    pub text: String,
    /// Output for scripts, with `--json`.
    pub json: Value,
}

impl Reply {
    /// Creates a reply from its text and the value to write as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized.
    pub fn new(text: impl Into<String>, value: &impl Serialize) -> Result<Self, CtlError> {
        let json = serde_json::to_value(value).map_err(|e| CtlError::Reply(e.to_string()))?;
        let text = text.into();
        Ok(Self { text, json })
    }

    /// Renders the reply for printing.
    #[must_use]
    pub fn render(&self, json: bool) -> String {
        if json {
            self.json.to_string()
        } else {
            self.text.trim_end().to_owned()
        }
    }
}

/// Renders a table without borders, which suits both terminals and `awk`.
#[must_use]
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut builder = Builder::default();
    builder.push_record(header.iter().map(|h| h.to_uppercase()));
    for row in rows {
        builder.push_record(row);
    }
    let text = builder.build().with(Style::blank()).to_string();
    let lines: Vec<_> = text.lines().map(str::trim).collect();
    lines.join("\n")
}
