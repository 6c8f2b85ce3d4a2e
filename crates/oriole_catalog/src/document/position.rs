//! Maps key paths and byte offsets of a document to lines.

use std::collections::BTreeMap;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Finds the line of a key path or byte offset, and the key path at a byte offset.
#[derive(Debug)]
pub(super) struct Positions {
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
    /// Byte offset of each key, by key path.
    key_offsets: BTreeMap<String, usize>,
    /// Byte range from the start of each key to the end of its value, with the key path.
    value_spans: Vec<(usize, usize, String)>,
}

impl Positions {
    pub(super) fn new(text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            line_starts: std::iter::once(0).chain(newlines).collect(),
            key_offsets: BTreeMap::new(),
            value_spans: Vec::new(),
        }
    }

    /// Records the positions of all keys of a document.
    pub(super) fn index(&mut self, table: &DeTable<'_>) {
        self.index_under("", table);
    }

    fn index_under(&mut self, parent: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let path = if parent.is_empty() {
                key.get_ref().to_string()
            } else {
                format!("{parent}.{}", key.get_ref())
            };
            self.index_key(&path, key.span().start, value);
        }
    }

    fn index_key(&mut self, path: &str, at: usize, value: &Spanned<DeValue<'_>>) {
        self.key_offsets.insert(path.to_owned(), at);
        let end = value.span().end.max(at);
        self.value_spans.push((at, end, path.to_owned()));
        if let DeValue::Table(table) = value.get_ref() {
            self.index_under(path, table);
        }
    }

    /// Returns the line of a byte offset, starting at 1.
    pub(super) fn line_at(&self, byte: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= byte)
    }

    /// Returns whether the document contains a key path.
    pub(super) fn has_key(&self, key: &str) -> bool {
        self.key_offsets.contains_key(key)
    }

    /// Returns the line of a key path or of its nearest parent in the document, else 1.
    pub(super) fn line_of_key(&self, key: &str) -> usize {
        let mut path = key;
        loop {
            if let Some(at) = self.key_offsets.get(path) {
                return self.line_at(*at);
            }
            match path.rsplit_once('.') {
                Some((parent, _)) => path = parent,
                None => return 1,
            }
        }
    }

    /// Returns the longest key path under `within` whose key or value covers a byte offset, else
    /// `within` itself.
    pub(super) fn key_at(&self, byte: usize, within: &str) -> String {
        self.value_spans
            .iter()
            .filter(|(start, end, path)| (*start..*end).contains(&byte) && path.starts_with(within))
            .map(|(_, _, path)| path.as_str())
            .max_by_key(|path| path.len())
            .unwrap_or(within)
            .to_owned()
    }
}
