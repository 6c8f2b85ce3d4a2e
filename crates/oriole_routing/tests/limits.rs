//! Tests of the limiter.

mod common;

use std::time::Duration;

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;

/// Several entries with the same catalog. Counts the requests that each admits; the entries
/// exchange their digests once per simulated second.
struct Fleet {
    entries: Vec<Limiter>,
    catalog: Catalog,
    now: Duration,
    admitted: Vec<u32>,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        let mut fleet = Self {
            entries: vec![Limiter::new(LimiterConfig::default()); entries],
            catalog: catalog(),
            now: secs(1),
            admitted: vec![0; entries],
        };
        for limiter in &mut fleet.entries {
            limiter.set_catalog_entry_sharers(entries);
            for account in ["small", "large"] {
                limiter.set_account_sharers(fleet.now, &account.into(), entries);
            }
        }
        fleet
    }

    /// Offers an account's requests for some simulated seconds; `per_s` is the rate at each entry.
    fn run(&mut self, seconds: u64, account: &str, per_s: &[u32]) {
        for _ in 0..seconds {
            for step in 0..1000 {
                self.now += ms(1);
                for (i, rate) in per_s.iter().enumerate() {
                    if step * rate / 1000 != (step + 1) * rate / 1000 {
                        self.offer(i, account);
                    }
                }
            }
            self.exchange_digests();
        }
    }

    fn offer(&mut self, i: usize, account: &str) {
        let (account, entry) = (account.into(), "draft".into());
        let permit = self.entries[i].admit(self.now, &self.catalog, &account, &entry, None);
        if let Ok(permit) = permit {
            self.entries[i].release(permit);
            self.admitted[i] += 1;
        }
    }

    fn exchange_digests(&mut self) {
        let digests: Vec<_> = self.entries.iter().map(|l| l.digest(self.now)).collect();
        for (i, limiter) in self.entries.iter_mut().enumerate() {
            for (j, digest) in digests.iter().enumerate().filter(|(j, _)| *j != i) {
                limiter.record_peer_digest(self.now, &VmName::new(&format!("e{j}")), digest);
            }
        }
    }

    fn take_admitted(&mut self) -> u32 {
        let sum = self.admitted.iter().sum();
        self.admitted.fill(0);
        sum
    }
}

#[test]
fn admit_fleet_wide_limit_holds() {
    let mut fleet = Fleet::new(4);
    fleet.run(5, "large", &[100, 100, 100, 100]);
    fleet.take_admitted();
    fleet.run(20, "large", &[100, 100, 100, 100]);
    let admitted = fleet.take_admitted();
    assert!((700..=840).contains(&admitted), "{admitted} of 800");
}

#[test]
fn admit_unused_share_traded() {
    let mut fleet = Fleet::new(4);
    fleet.run(5, "large", &[100, 0, 0, 0]);
    fleet.take_admitted();
    fleet.run(20, "large", &[100, 0, 0, 0]);
    let admitted = fleet.take_admitted();
    assert!((640..=800).contains(&admitted), "{admitted} of 800");
}

#[test]
fn admit_entry_limit_fair_to_small() {
    let mut fleet = Fleet::new(1);
    let large = fleet.catalog.accounts.get_mut("large").unwrap();
    large.requests_per_s = 1000;
    let (mut small, mut tried) = (0, 0);
    for step in 0..20_000_u32 {
        fleet.now += ms(1);
        fleet.offer(0, "large");
        if step % 50 == 0 {
            let before = fleet.admitted[0];
            fleet.offer(0, "small");
            small += fleet.admitted[0] - before;
            tried += 1;
        }
    }
    assert_eq!(small, tried, "an account below its share is never refused");
}

#[test]
fn admit_in_flight_limit() {
    let mut limiter = Limiter::new(LimiterConfig::default());
    let mut catalog = catalog();
    catalog.accounts.insert("small".into(), account(1000, 2));
    let (account, entry) = ("small".into(), "draft".into());
    let admit = |limiter: &mut Limiter| limiter.admit(secs(1), &catalog, &account, &entry, None);
    let first = admit(&mut limiter).unwrap();
    let _second = admit(&mut limiter).unwrap();
    let third = admit(&mut limiter).map(|_| ()).unwrap_err();
    assert_eq!(third.reason, RefusalReason::AccountLimit);
    limiter.release(first);
    assert!(admit(&mut limiter).is_ok());
}

#[test]
fn admit_blocked_narrowly() {
    let mut limiter = Limiter::new(LimiterConfig::default());
    let mut catalog = catalog();
    let key = Digest::of(b"key");
    let block = Block {
        account: Some("small".into()),
        entry: None,
        key: Some(key),
        reason: "asked again and again".to_owned(),
    };
    catalog.blocks.insert("b1".to_owned(), block);
    let mut admit = |account: &str, key: Option<&Digest>| {
        let admitted = limiter.admit(secs(1), &catalog, &account.into(), &"draft".into(), key);
        admitted.map(|_| ()).map_err(|r| (r.reason, r.detail))
    };
    let refused = Err((
        RefusalReason::Blocked,
        Some("asked again and again".to_owned()),
    ));
    assert_eq!(admit("small", Some(&key)), refused);
    assert_eq!(admit("small", None), Ok(()));
    assert_eq!(admit("large", Some(&key)), Ok(()));
}

#[test]
fn digest_quiet_account_left_out() {
    let mut fleet = Fleet::new(4);
    fleet.run(10, "small", &[2, 0, 0, 0]);
    assert!(fleet.entries[0].digest(fleet.now).accounts.is_empty());
    fleet.run(10, "small", &[20, 0, 0, 0]);
    assert_eq!(fleet.entries[0].digest(fleet.now).accounts.len(), 1);
}
