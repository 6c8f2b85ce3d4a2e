//! Results of commands as text or JSON.

use serde::Serialize;
use serde_json::Value;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::error::CtlError;

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// For people.
    pub text: String,
    /// For scripts.
    pub json: Value,
}

impl Reply {
    /// A reply from its two forms.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be written as JSON.
    pub fn new(text: impl Into<String>, value: &impl Serialize) -> Result<Self, CtlError> {
        let json = serde_json::to_value(value).map_err(|e| CtlError::Reply(e.to_string()))?;
        let text = text.into();
        Ok(Self { text, json })
    }

    /// The reply to print.
    #[must_use]
    pub fn render(&self, json: bool) -> String {
        if json {
            self.json.to_string()
        } else {
            self.text.trim_end().to_owned()
        }
    }
}

/// A table without lines, for terminals and `awk`.
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
