//! Tickets: idempotency keys that the fleet issues, bound to one home.
//!
//! A ticket consists of a signed prefix and a suffix. The prefix contains the home, the issue time
//! by the home's clock, and a MAC over these and the account and entry it was issued for. The
//! suffix is not signed, so a caller can make many keys from one prefix.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use oriole_types::ids::{AccountName, EntryName, IdempotencyKey, Incarnation, VmName};
use sha2::Sha256;

use crate::request::HomeRef;

/// First characters of every ticket.
pub const PREFIX: &str = "ot1.";

/// Length in bytes of the truncated MAC in a ticket.
const MAC_LEN: usize = 16;

/// Longest suffix, in characters.
pub const MAX_SUFFIX_LEN: usize = 64;

/// Secrets of the fleet that tickets are signed with. Their `Debug` form leaves them out.
#[derive(Clone)]
pub struct TicketSecret(Vec<Vec<u8>>);

impl TicketSecret {
    /// Creates the secrets of a fleet that has only one.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self::rotating([secret])
    }

    /// Creates the secrets of a rotation: the first one signs, and tickets signed with any of them
    /// are genuine.
    #[must_use]
    pub fn rotating<'a>(secrets: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(secrets.into_iter().map(<[u8]>::to_vec).collect())
    }

    fn signing(&self) -> &[u8] {
        self.0.first().map_or(&[], Vec::as_slice)
    }
}

impl fmt::Debug for TicketSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketSecret")
    }
}

/// A key issued by the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The home that the key is bound to.
    pub home: HomeRef,
    /// Issue time in milliseconds since the home's start, by the home's clock or earlier.
    pub issued_ms: u64,
    mac: [u8; MAC_LEN],
    suffix: String,
}

impl Ticket {
    /// Issues a ticket of a home for one account and entry.
    ///
    /// `issued_ms` is a reading of the home's own clock or a lower bound of it, such as the last
    /// reading that the home sent to the entry. `suffix` must have 1 to [`MAX_SUFFIX_LEN`]
    /// characters out of ASCII letters, digits, `-` and `_`.
    #[must_use]
    pub fn mint(
        secret: &TicketSecret,
        home: HomeRef,
        issued_ms: u64,
        account: &AccountName,
        entry: &EntryName,
        suffix: &str,
    ) -> Self {
        let mac = sign(secret.signing(), &home, issued_ms, account, entry);
        Self {
            home,
            issued_ms,
            mac: truncated(mac),
            suffix: suffix.to_owned(),
        }
    }

    /// The idempotency key that a caller sends.
    #[must_use]
    pub fn key(&self) -> IdempotencyKey {
        IdempotencyKey::new(&format!("{}{}", self.prefix(), self.suffix))
    }

    /// The signed prefix, to which a caller may append a suffix of its own.
    #[must_use]
    pub fn prefix(&self) -> String {
        let HomeRef { vm, incarnation } = &self.home;
        let mac = hex::encode(self.mac);
        format!(
            "{PREFIX}{vm}.{:x}.{:x}.{mac}.",
            incarnation.0, self.issued_ms
        )
    }

    /// Parses a ticket without checking its signature; `None` if the text is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.strip_prefix(PREFIX)?.rsplitn(5, '.');
        let suffix = fields.next().filter(|s| valid_suffix(s))?;
        let mut mac = [0; MAC_LEN];
        hex::decode_to_slice(fields.next()?, &mut mac).ok()?;
        let issued_ms = u64::from_str_radix(fields.next()?, 16).ok()?;
        let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
        let vm = fields.next().filter(|vm| !vm.is_empty())?;
        Some(Self {
            home: HomeRef {
                vm: VmName::new(vm),
                incarnation: Incarnation(incarnation),
            },
            issued_ms,
            mac,
            suffix: suffix.to_owned(),
        })
    }

    /// Whether the fleet issued the ticket for this account and entry. MACs are compared in
    /// constant time.
    #[must_use]
    pub fn is_genuine(
        &self,
        secret: &TicketSecret,
        account: &AccountName,
        entry: &EntryName,
    ) -> bool {
        secret.0.iter().any(|secret| {
            let mac = sign(secret, &self.home, self.issued_ms, account, entry);
            mac.verify_truncated_left(&self.mac).is_ok()
        })
    }
}

fn valid_suffix(suffix: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    (1..=MAX_SUFFIX_LEN).contains(&suffix.len()) && suffix.bytes().all(allowed)
}

fn sign(
    secret: &[u8],
    home: &HomeRef,
    issued_ms: u64,
    account: &AccountName,
    entry: &EntryName,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    for name in [home.vm.as_str(), account.as_str(), entry.as_str()] {
        mac.update(&(name.len() as u64).to_be_bytes());
        mac.update(name.as_bytes());
    }
    mac.update(&home.incarnation.0.to_be_bytes());
    mac.update(&issued_ms.to_be_bytes());
    mac
}

fn truncated(mac: Hmac<Sha256>) -> [u8; MAC_LEN] {
    let full = mac.finalize().into_bytes();
    let mut buf = [0; MAC_LEN];
    buf.copy_from_slice(&full[..MAC_LEN]);
    buf
}
