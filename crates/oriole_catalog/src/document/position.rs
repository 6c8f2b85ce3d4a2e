//! Lines and key paths of places in a document.

use std::collections::BTreeMap;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Finds lines by key path or byte, and key paths by byte.
#[derive(Debug)]
pub(super) struct Positions {
    /// Byte at which each line starts.
    line_starts: Vec<usize>,
    /// Byte at which each key stands.
    key_offsets: BTreeMap<String, usize>,
    /// First and last byte of each value, with its key path.
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

    /// Notes where the keys of a document stand.
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

    /// Line of a byte, starting at 1.
    pub(super) fn line_at(&self, byte: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= byte)
    }

    /// Whether the document has a key.
    pub(super) fn has_key(&self, key: &str) -> bool {
        self.key_offsets.contains_key(key)
    }

    /// Line of a key, or of the nearest key above it.
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

    /// The longest key path under `within` whose key and value cover a byte.
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
