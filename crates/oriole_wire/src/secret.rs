//! The fleet secret, by which processes recognise each other.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use oriole_types::digest::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Shortest secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The secrets a process accepts; the first is the one it proves itself with.
///
/// Use two while a secret is rotated: first add the new one everywhere in second place, then swap
/// the order everywhere, then remove the old one.
#[derive(Clone)]
pub struct FleetSecrets {
    secrets: Arc<[Box<[u8]>]>,
}

/// The list of secrets cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected one or two fleet secrets of at least {MIN_SECRET_BYTES} bytes")]
pub struct SecretError;

impl FleetSecrets {
    /// Takes one or two secrets.
    ///
    /// # Errors
    ///
    /// Fails if there are none, more than two, or one is too short.
    pub fn new(secrets: &[&str]) -> Result<Self, SecretError> {
        let count_fits = (1..=2).contains(&secrets.len());
        if !count_fits || secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
            return Err(SecretError);
        }
        let secrets = secrets.iter().map(|s| s.as_bytes().into()).collect();
        Ok(Self { secrets })
    }

    /// Takes the secrets that a daemon's settings state under `fleet_secrets`.
    ///
    /// # Errors
    ///
    /// As [`FleetSecrets::new`], with the key in the message.
    pub fn from_settings(secrets: &[String]) -> Result<Self, String> {
        let secrets: Vec<&str> = secrets.iter().map(String::as_str).collect();
        Self::new(&secrets).map_err(|e| format!("fleet_secrets: {e}"))
    }

    /// Identifier of the secret this process proves itself with.
    #[must_use]
    pub fn primary_id(&self) -> u64 {
        secret_id(&self.secrets[0])
    }

    /// Whether a secret of that identifier is held.
    #[must_use]
    pub fn contains(&self, id: u64) -> bool {
        self.find(id).is_some()
    }

    /// Authenticates fields with the secret of some identifier; `None` if it is not held.
    #[must_use]
    pub fn sign(&self, id: u64, fields: &[&[u8]]) -> Option<[u8; 32]> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.find(id)?).ok()?;
        for field in fields {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        Some(mac.finalize().into_bytes().into())
    }

    /// Whether a proof over fields was made with the secret of some identifier.
    #[must_use]
    pub fn verify(&self, id: u64, fields: &[&[u8]], proof: &[u8]) -> bool {
        self.sign(id, fields)
            .is_some_and(|expected| expected.ct_eq(proof).into())
    }

    fn find(&self, id: u64) -> Option<&[u8]> {
        self.secrets
            .iter()
            .map(AsRef::as_ref)
            .find(|s| secret_id(s) == id)
    }
}

impl fmt::Debug for FleetSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetSecrets({})", self.secrets.len())
    }
}

fn secret_id(secret: &[u8]) -> u64 {
    Digest::of_fields(&[b"oriole secret id", secret]).prefix_u64()
}
