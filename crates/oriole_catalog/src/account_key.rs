//! Account keys, of which the catalog holds only digests.

use std::fmt;

use oriole_types::digest::Digest;
use rand::{Rng, RngExt as _};

/// Random bytes in a key.
const KEY_BYTES: usize = 32;
/// Start of each key, by which scanners for leaked secrets recognise it.
const KEY_PREFIX: &str = "oriole_";

/// A client account's key. Show it once to whoever holds the account and keep only its digest.
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

    /// The digest that goes into the catalog.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// The key itself.
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
