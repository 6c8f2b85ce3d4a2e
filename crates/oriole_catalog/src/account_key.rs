//! Generates account keys. The catalog holds only their digests.

use std::fmt;

use oriole_types::digest::Digest;
use rand::{Rng, RngExt as _};

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;
/// Prefix of every key, so that scanners for leaked secrets recognise one.
const KEY_PREFIX: &str = "oriole_";

/// A client account's key. Show it once to the owner of the account and store only its digest.
///
/// ```
/// use oriole_catalog::account_key::AccountKey;
/// use oriole_types::digest::Digest;
/// let key = AccountKey::generate(&mut rand::rng());
/// assert_eq!(key.digest(), Digest::of(key.reveal().as_bytes()));
/// ```
pub struct AccountKey(String);

impl AccountKey {
    /// Generates a random key. The generator must be cryptographically secure.
    pub fn generate(rng: &mut impl Rng) -> Self {
        let bytes: [u8; KEY_BYTES] = rng.random();
        Self(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
    }

    /// Returns the digest to store in the catalog.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// Returns the key in clear text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AccountKey({:?})", self.digest())
    }
}
