//! The forms of an idempotency key, and the claim key derived from it.

use oriole_types::digest::Digest;
use oriole_types::ids::{AccountName, EntryName, IdempotencyKey};

use crate::ticket::{self, Ticket};

/// Length of a claim key in bytes.
pub const CLAIM_KEY_LEN: usize = 16;

/// Number of decimal digits of the issue time at the start of a timestamped key.
const ISSUE_TIME_DIGITS: usize = 13;

oriole_types::value_type! {
    /// The first 128 bits of the digest of account, entry and idempotency key.
    #[serde(transparent)]
    pub struct ClaimKey(pub u128);
}

impl ClaimKey {
    /// The claim key of a caller's key. The same key under another account or entry has another
    /// claim key.
    #[must_use]
    pub fn of(account: &AccountName, entry: &EntryName, key: &IdempotencyKey) -> Self {
        let fields = [account.as_str(), entry.as_str(), key.as_str()];
        let digest = Digest::of_fields(&fields.map(str::as_bytes));
        let mut buf = [0; CLAIM_KEY_LEN];
        buf.copy_from_slice(&digest.0[..CLAIM_KEY_LEN]);
        Self(u128::from_be_bytes(buf))
    }

    /// The partition of the key among `partitions`, which is at least 1.
    #[must_use]
    pub fn partition(self, partitions: u32) -> u32 {
        let part = self.0 % u128::from(partitions.max(1));
        u32::try_from(part).unwrap_or_default()
    }
}

/// The form of a key, with what its text says about where and when it was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyForm {
    /// Issued by the fleet and bound to one incarnation.
    Ticket(Ticket),
    /// Chosen by the caller and containing its issue time in Unix milliseconds: a UUID of version
    /// 7, or a text that starts with 13 decimal digits and a hyphen.
    Timestamped(u64),
    /// Chosen by the caller, without an issue time.
    Plain,
    /// Starts like a ticket but cannot be parsed as one.
    Malformed,
}

impl KeyForm {
    /// Determines the form of a key, which depends on its text alone.
    ///
    /// ```
    /// use oriole_claims::key::KeyForm;
    /// let form = KeyForm::of(&"1796360000000-order-17".into());
    /// assert_eq!(form, KeyForm::Timestamped(1_796_360_000_000));
    /// assert_eq!(KeyForm::of(&"order-17".into()), KeyForm::Plain);
    /// ```
    #[must_use]
    pub fn of(key: &IdempotencyKey) -> Self {
        let text = key.as_str();
        if text.starts_with(ticket::PREFIX) {
            return Ticket::parse(text).map_or(Self::Malformed, Self::Ticket);
        }
        uuid_v7_ms(text)
            .or_else(|| decimal_ms(text))
            .map_or(Self::Plain, Self::Timestamped)
    }
}

fn decimal_ms(text: &str) -> Option<u64> {
    let (head, rest) = text.split_at_checked(ISSUE_TIME_DIGITS)?;
    let digits = head.bytes().all(|b| b.is_ascii_digit());
    (digits && rest.starts_with('-')).then(|| head.parse().ok())?
}

fn uuid_v7_ms(text: &str) -> Option<u64> {
    let fields: Vec<&str> = text.split('-').collect();
    let lengths: Vec<usize> = fields.iter().map(|f| f.len()).collect();
    let hex = fields
        .iter()
        .all(|f| f.bytes().all(|b| b.is_ascii_hexdigit()));
    if lengths != [8, 4, 4, 4, 12] || !hex || !fields[2].starts_with('7') {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", fields[0], fields[1]), 16).ok()
}
