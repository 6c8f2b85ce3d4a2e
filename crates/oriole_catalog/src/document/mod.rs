//! Parses and writes catalog documents, the TOML files that operators edit.

mod position;

use std::collections::BTreeSet;
use std::fmt;

use oriole_types::prelude::*;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::section::{ItemPath, Items, Section, catalog_from_items};
use crate::validate::violations;
use position::Positions;

/// Key of the revision that a document was taken from.
const REVISION: &str = "revision";

/// Field of an account that lists the digests of its keys.
const KEY_DIGESTS: &str = "key_digests";
/// Error message for a malformed list of digests.
const KEY_DIGESTS_EXPECTED: &str = "expected a list of digests of 64 hexadecimal characters each";

/// A parsed and validated document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Revision that the document was taken from; `None` if it names none.
    pub base: Option<Revision>,
    /// The catalog in the document. Its revision is `base`, or zero without one.
    pub catalog: Catalog,
    /// Sections that the document contains. [`Document::apply_to`] leaves all others unchanged.
    pub sections: BTreeSet<Section>,
    /// Failure domains in the document without a `state`.
    pub domains_without_state: BTreeSet<DomainName>,
}

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// File name, as given to [`Document::parse`].
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Key path; empty if the document is not valid TOML.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

/// All errors in a document, sorted by line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentErrors(pub Vec<DocumentError>);

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for DocumentErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Document {
    /// Parses and validates a document. `file` is the name shown in errors.
    ///
    /// # Errors
    ///
    /// Fails with every error found: unknown keys, wrong types and values, and references to
    /// items that do not exist.
    ///
    /// ```
    /// use oriole_catalog::document::Document;
    /// let errors = Document::parse("c.toml", "[domains.gela]\nstate = \"out\"").unwrap_err();
    /// assert_eq!(
    ///     errors.to_string(),
    ///     "c.toml:2: domains.gela.state: unknown variant `out`, \
    ///      expected `in_service` or `drained`"
    /// );
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, DocumentErrors> {
        let mut reader = Reader::new(file, text);
        let document = reader.read(text);
        match document {
            Some(document) if reader.errors.is_empty() => Ok(document),
            _ => Err(reader.into_errors()),
        }
    }

    /// Returns the catalog that results from applying the document to `base`.
    ///
    /// Sections that the document does not contain stay unchanged. A failure domain without a
    /// `state` keeps its state: applying a document from version control must not return a domain
    /// to service that an operator has drained. An empty section, such as `[blocks]`, removes all
    /// items of that section.
    #[must_use]
    pub fn apply_to(&self, base: &Catalog) -> Catalog {
        let mut catalog = self.catalog.clone();
        macro_rules! keep {
            ($section:ident, $field:ident) => {
                if !self.sections.contains(&Section::$section) {
                    catalog.$field = base.$field.clone();
                }
            };
        }
        keep!(Entries, entries);
        keep!(Accounts, accounts);
        keep!(Pools, pools);
        keep!(Domains, domains);
        keep!(Vms, vms);
        keep!(Groups, groups);
        keep!(Blocks, blocks);
        keep!(ReleasedDigests, released_digests);
        for name in &self.domains_without_state {
            if let Some(domain) = catalog.domains.get_mut(name) {
                domain.state = base.domain_state(name);
            }
        }
        catalog
    }
}

/// Writes a catalog as a document that names its revision as the base.
///
/// # Errors
///
/// Fails if the catalog cannot be written as TOML.
pub fn render(catalog: &Catalog) -> Result<String, toml::ser::Error> {
    toml::to_string_pretty(catalog)
}

struct Reader<'a> {
    file: &'a str,
    positions: Positions,
    items: Items,
    base: Option<Revision>,
    sections: BTreeSet<Section>,
    errors: Vec<DocumentError>,
}

impl<'a> Reader<'a> {
    fn new(file: &'a str, text: &str) -> Self {
        Self {
            file,
            positions: Positions::new(text),
            items: Items::new(),
            base: None,
            sections: BTreeSet::new(),
            errors: Vec::new(),
        }
    }

    fn into_errors(mut self) -> DocumentErrors {
        self.errors
            .sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        DocumentErrors(self.errors)
    }

    fn report(&mut self, line: usize, key: String, message: impl Into<String>) {
        self.errors.push(DocumentError {
            file: self.file.to_owned(),
            line,
            key,
            message: message.into(),
        });
    }

    fn read(&mut self, text: &str) -> Option<Document> {
        let table = match DeTable::parse(text) {
            Ok(table) => table.into_inner(),
            Err(e) => {
                self.report_toml(&e, "");
                return None;
            }
        };
        self.positions.index(&table);
        for (key, value) in table {
            self.read_top_level(key.get_ref(), value);
        }
        if !self.errors.is_empty() {
            return None;
        }
        let revision = self.base.unwrap_or_default();
        let catalog = match catalog_from_items(&self.items, revision) {
            Ok(catalog) => catalog,
            Err(e) => {
                self.report(1, String::new(), e.to_string());
                return None;
            }
        };
        for v in violations(&catalog) {
            let line = self.positions.line_of_key(&v.key);
            self.report(line, v.key, v.message);
        }
        let has_state =
            |name: &DomainName| self.positions.has_key(&format!("domains.{name}.state"));
        let domains = catalog.domains.keys();
        Some(Document {
            base: self.base,
            domains_without_state: domains.filter(|d| !has_state(d)).cloned().collect(),
            catalog,
            sections: std::mem::take(&mut self.sections),
        })
    }

    fn read_top_level(&mut self, key: &str, value: Spanned<DeValue<'_>>) {
        if key == REVISION {
            self.base = self.read_value::<Revision>(REVISION, value);
            return;
        }
        let Some(section) = Section::from_name(key) else {
            let line = self.positions.line_of_key(key);
            let allowed: Vec<_> = Section::ALL.iter().map(|s| s.as_str()).collect();
            self.report(
                line,
                key.to_owned(),
                format!("unknown key; allowed: {REVISION}, {}", allowed.join(", ")),
            );
            return;
        };
        self.sections.insert(section);
        if section == Section::ReleasedDigests {
            self.read_released(value);
        } else {
            self.read_section(section, value);
        }
    }

    fn read_released(&mut self, value: Spanned<DeValue<'_>>) {
        let section = Section::ReleasedDigests;
        let digests: Option<Vec<Digest>> = self.read_value(section.as_str(), value);
        for digest in digests.unwrap_or_default() {
            let path = ItemPath::new(section, digest.to_string());
            self.items.insert(path, true.into());
        }
    }

    fn read_section(&mut self, section: Section, value: Spanned<DeValue<'_>>) {
        let line = self.positions.line_at(value.span().start);
        let DeValue::Table(table) = value.into_inner() else {
            let key = section.as_str().to_owned();
            self.report(line, key.clone(), format!("expected a table [{key}.NAME]"));
            return;
        };
        for (name, value) in table {
            self.read_item(ItemPath::new(section, name.get_ref().clone()), value);
        }
    }

    fn read_item(&mut self, path: ItemPath, value: Spanned<DeValue<'_>>) {
        let key = path.to_string();
        let json = match path.section {
            Section::Entries => self.read_json::<CatalogEntry>(&key, value),
            Section::Accounts => self.read_json::<ClientAccount>(&key, value),
            Section::Pools => self.read_json::<Pool>(&key, value),
            Section::Domains => self.read_json::<FailureDomain>(&key, value),
            Section::Vms => self.read_json::<ServiceState>(&key, value),
            Section::Groups => self.read_json::<Group>(&key, value),
            Section::Blocks => self.read_json::<Block>(&key, value),
            Section::ReleasedDigests => None,
        };
        if let Some(json) = json {
            self.items.insert(path, json);
        }
    }

    fn read_json<T: DeserializeOwned + serde::Serialize>(
        &mut self,
        key: &str,
        value: Spanned<DeValue<'_>>,
    ) -> Option<serde_json::Value> {
        let item: T = self.read_value(key, value)?;
        serde_json::to_value(item).ok()
    }

    fn read_value<T: DeserializeOwned>(
        &mut self,
        key: &str,
        value: Spanned<DeValue<'_>>,
    ) -> Option<T> {
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(item) => Some(item),
            Err(e) => {
                self.report_toml(&e, key);
                None
            }
        }
    }

    /// Reports an error of the TOML library at the position it gives, or at `key` if it gives none.
    fn report_toml(&mut self, e: &toml::de::Error, key: &str) {
        let (line, key) = match e.span() {
            Some(span) => (
                self.positions.line_at(span.start),
                self.positions.key_at(span.start, key),
            ),
            None => (self.positions.line_of_key(key), key.to_owned()),
        };
        // The library's message shows the value, which may be a key in clear text.
        let message = if key.contains(KEY_DIGESTS) {
            KEY_DIGESTS_EXPECTED
        } else {
            e.message()
        };
        self.report(line, key, message);
    }
}
