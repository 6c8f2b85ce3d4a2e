//! Parsing of documents, and the error messages for invalid ones.

use oriole_catalog::prelude::*;
use rstest::rstest;

const VALID: &str = include_str!("data/valid.toml");

#[test]
fn parse_valid() {
    let document = Document::parse("valid.toml", VALID).unwrap();
    insta::assert_json_snapshot!(document.catalog);
}

#[test]
fn render_round_trip() {
    let document = Document::parse("valid.toml", VALID).unwrap();
    let text = oriole_catalog::document::render(&document.catalog).unwrap();
    assert_eq!(
        Document::parse("x", &text).unwrap().catalog,
        document.catalog
    );
}

#[rstest]
#[case::not_toml("[entries.credits\nowner = 1")]
#[case::unknown_section("[entrys.credits]\nowner = \"books\"")]
#[case::unknown_key("[pools.p]\nkind = \"engine\"\ncold_concurrency = 1\nwarm_concurency = 2")]
#[case::missing_key("\n\n[pools.p]\nkind = \"engine\"\ncold_concurrency = 1")]
#[case::wrong_type(
    "[pools.p]\nkind = \"engine\"\ncold_concurrency = \"one\"\nwarm_concurrency = 2"
)]
#[case::negative("[pools.p]\nkind = \"engine\"\ncold_concurrency = -1\nwarm_concurrency = 2")]
#[case::unknown_variant("[vms]\nvm-1 = \"gone\"")]
#[case::key_in_clear("[accounts.a]\nkey = \"secret\"\nrequests_per_s = 1\nmax_in_flight = 1")]
#[case::bad_digest(
    "[accounts.a]\nkey_digests = [\"secret\"]\nrequests_per_s = 1\nmax_in_flight = 1"
)]
#[case::digest_not_list(
    "[accounts.a]\nkey_digests = \"secret\"\nrequests_per_s = 1\nmax_in_flight = 1"
)]
#[case::section_not_table("pools = 3")]
#[case::several(include_str!("data/several_errors.toml"))]
fn parse_invalid(#[case] text: &str) {
    let errors = Document::parse("catalog.toml", text).unwrap_err();
    let name = std::thread::current().name().unwrap_or_default().to_owned();
    let name = name.rsplit("::").next().unwrap_or_default().to_owned();
    assert!(!errors.to_string().contains("secret"));
    insta::assert_snapshot!(name, errors.to_string());
}
