//! Content digests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Length of a digest, in bytes.
pub const DIGEST_LEN: usize = 32;

/// A SHA-256 digest, serialized as 64 hexadecimal characters.
///
/// It identifies bodies, keys and documents without storing them. `Debug` shows only a prefix.
///
/// ```
/// use oriole_types::digest::Digest;
/// let d = Digest::of(b"body");
/// assert_eq!(d.to_string().parse::<Digest>().unwrap(), d);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest(pub [u8; DIGEST_LEN]);

/// The input is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected 64 hexadecimal characters")]
pub struct ParseDigestError;

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Computes the digest of a list of fields. Each field is preceded by its length, so that lists
    /// which differ only in where fields are split have different digests.
    #[must_use]
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        Self(hasher.finalize().into())
    }

    /// Computes the same digest as [`Digest::of_fields`] with one more field that is given in parts,
    /// `len` bytes together.
    ///
    /// ```
    /// use oriole_types::digest::Digest;
    /// let whole = Digest::of_fields(&[b"key", b"body"]);
    /// let parts: [&[u8]; 2] = [b"bo", b"dy"];
    /// assert_eq!(Digest::of_fields_and_parts(&[b"key"], 4, parts), whole);
    /// ```
    #[must_use]
    pub fn of_fields_and_parts<'a>(
        fields: &[&[u8]],
        len: usize,
        parts: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.update((len as u64).to_be_bytes());
        for part in parts {
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Compares in constant time, for digests of secrets.
    #[must_use]
    pub fn constant_time_eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// The first eight bytes as a big-endian number, for hash tables and short identifiers.
    #[must_use]
    pub fn prefix_u64(&self) -> u64 {
        let mut buf = [0; 8];
        buf.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(buf)
    }

    /// Creates a digest from its raw bytes.
    ///
    /// # Errors
    ///
    /// Fails if there are not exactly [`DIGEST_LEN`] bytes.
    pub fn from_slice(bytes: &[u8]) -> Result<Self, ParseDigestError> {
        bytes.try_into().map(Self).map_err(|_| ParseDigestError)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({:016x})", self.prefix_u64())
    }
}

impl std::str::FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut buf = [0; DIGEST_LEN];
        hex::decode_to_slice(text, &mut buf).map_err(|_| ParseDigestError)?;
        Ok(Self(buf))
    }
}

impl From<Digest> for String {
    fn from(d: Digest) -> Self {
        d.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
