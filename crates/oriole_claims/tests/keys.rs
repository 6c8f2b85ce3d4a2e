//! Forms of keys, tickets, and the choice of candidates.

use oriole_claims::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

fn secret() -> TicketSecret {
    TicketSecret::new(b"secret")
}

fn ticket(vm: &str) -> Ticket {
    let home = HomeRef {
        vm: vm.into(),
        incarnation: Incarnation(0xbeef),
    };
    Ticket::mint(&secret(), home, 77, &"acme".into(), &"book".into(), "k-1")
}

#[rstest]
#[case::plain("order-17", KeyForm::Plain)]
#[case::uuid_v4("8c1f0c3e-5b1a-4d3e-9a53-5a0b1d7f0c3e", KeyForm::Plain)]
#[case::uuid_v7(
    "01a23f5e-7c00-7d3e-9a53-5a0b1d7f0c3e",
    KeyForm::Timestamped(0x01a2_3f5e_7c00)
)]
#[case::decimal("1796360000000-17", KeyForm::Timestamped(1_796_360_000_000))]
#[case::decimal_alone("1796360000000", KeyForm::Plain)]
#[case::non_ascii("1796360000é", KeyForm::Plain)]
#[case::broken_ticket("ot1.vm.1.2.zz.k", KeyForm::Malformed)]
fn key_form_of(#[case] text: &str, #[case] form: KeyForm) {
    assert_eq!(KeyForm::of(&text.into()), form);
}

#[rstest]
#[case::short_name("vm-1")]
#[case::name_with_dots("vm-1.zone.example")]
fn ticket_reads_back(#[case] vm: &str) {
    let minted = ticket(vm);
    let read = Ticket::parse(minted.key().as_str());
    assert_eq!(read.as_ref(), Some(&minted));
    assert!(minted.is_genuine(&secret(), &"acme".into(), &"book".into()));
}

#[rstest]
#[case::other_account("evil", "book", b"secret")]
#[case::other_entry("acme", "refund", b"secret")]
#[case::other_secret("acme", "book", b"public")]
fn ticket_is_not_genuine(#[case] account: &str, #[case] entry: &str, #[case] secret: &[u8]) {
    let secret = TicketSecret::new(secret);
    assert!(!ticket("vm-1").is_genuine(&secret, &account.into(), &entry.into()));
}

#[rstest]
#[case::signs(&["secret", "older"], true)]
#[case::was_replaced(&["newer", "secret"], true)]
#[case::is_gone(&["newest", "newer"], false)]
#[case::none(&[], false)]
fn ticket_is_genuine_in_a_rotation(#[case] secrets: &[&str], #[case] genuine: bool) {
    let secrets = TicketSecret::rotating(secrets.iter().map(|s| s.as_bytes()));
    let found = ticket("vm-1").is_genuine(&secrets, &"acme".into(), &"book".into());
    assert_eq!(found, genuine);
}

#[test]
fn ticket_altered_is_not_genuine() {
    let altered = ticket("vm-1").key().as_str().replace("vm-1", "vm-2");
    let read = Ticket::parse(&altered).expect("still reads as a ticket");
    assert!(!read.is_genuine(&secret(), &"acme".into(), &"book".into()));
}

#[test]
fn ticket_suffix_is_the_callers_choice() {
    let prefix = ticket("vm-1").prefix();
    let read = Ticket::parse(&format!("{prefix}own_suffix")).expect("reads as a ticket");
    assert!(read.is_genuine(&secret(), &"acme".into(), &"book".into()));
}

#[test]
fn candidates_agree_with_soft_owner() {
    let (pool, live) = (PoolName::new("pool"), ["a", "b", "c"].map(VmName::new));
    for n in 0..64 {
        let key = IdempotencyKey::new(&format!("order-{n}"));
        let names = (&AccountName::new("acme"), &EntryName::new("book"), &key);
        let partition = ClaimKey::of(names.0, names.1, &key).partition(16);
        let found = candidates(&pool, 16, names, &live);
        assert_eq!(found.first(), preferred_owner(&pool, partition, &live));
    }
}

#[test]
fn candidates_of_a_ticket_is_its_home() {
    let names = (&AccountName::new("acme"), &EntryName::new("book"));
    let key = ticket("gone").key();
    let found = candidates(&"pool".into(), 16, (names.0, names.1, &key), &["a".into()]);
    assert_eq!(found, [VmName::new("gone")]);
}

#[test]
fn claim_key_of_is_scoped() {
    let of = |account: &str, entry: &str| ClaimKey::of(&account.into(), &entry.into(), &"k".into());
    assert_ne!(of("acme", "book"), of("acme", "refund"));
    assert_ne!(of("acme", "book"), of("other", "book"));
}
