//! The fleet secret, with which processes authenticate each other.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use oriole_types::digest::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The secrets that a process accepts. As a client it uses the first one.
///
/// To rotate the secret, add the new one in second place on all processes, then swap the order on all
/// processes, then remove the old one.
#[derive(Clone)]
pub struct FleetSecrets {
    secrets: Arc<[Box<[u8]>]>,
}

/// The list of secrets is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected one or two fleet secrets of at least {MIN_SECRET_BYTES} bytes")]
pub struct SecretError;

impl FleetSecrets {
    /// Creates the list from one or two secrets.
    ///
    /// # Errors
    ///
    /// Fails if there are none or more than two, or if one is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(secrets: &[&str]) -> Result<Self, SecretError> {
        let valid_count = (1..=2).contains(&secrets.len());
        if !valid_count || secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
            return Err(SecretError);
        }
        let secrets = secrets.iter().map(|s| s.as_bytes().into()).collect();
        Ok(Self { secrets })
    }

    /// Creates the list from the key `fleet_secrets` of a daemon's settings.
    ///
    /// # Errors
    ///
    /// As [`FleetSecrets::new`]; the message names the key.
    pub fn from_settings(secrets: &[String]) -> Result<Self, String> {
        let secrets: Vec<&str> = secrets.iter().map(String::as_str).collect();
        Self::new(&secrets).map_err(|e| format!("fleet_secrets: {e}"))
    }

    /// Identifier of the secret that this process uses as a client.
    #[must_use]
    pub fn primary_id(&self) -> u64 {
        secret_id(&self.secrets[0])
    }

    /// Whether the list has a secret with this identifier.
    #[must_use]
    pub fn contains(&self, id: u64) -> bool {
        self.find(id).is_some()
    }

    /// Computes an HMAC over `fields` with the secret `id`; `None` if the list does not have it.
    #[must_use]
    pub fn sign(&self, id: u64, fields: &[&[u8]]) -> Option<[u8; 32]> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.find(id)?).ok()?;
        for field in fields {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field);
        }
        Some(mac.finalize().into_bytes().into())
    }

    /// Whether `proof` is the HMAC over `fields` with the secret `id`. Compares in constant time.
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
