//! Catalog documents: parsing, validation, versioned change and spread to every process.
#![forbid(unsafe_code)]
