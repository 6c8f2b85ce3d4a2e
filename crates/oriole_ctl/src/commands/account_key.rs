//! `account-key`: generates an account key.

use oriole_catalog::account_key::AccountKey;
use oriole_types::digest::Digest;
use serde::Serialize;

use crate::error::CtlError;
use crate::reply::Reply;

/// A key and its digest. The key is printed once and not stored.
#[derive(Serialize)]
struct KeyReply<'a> {
    key: &'a str,
    digest: Digest,
}

/// Generates a key and prints it with its digest.
pub(crate) fn account_key() -> Result<Reply, CtlError> {
    let key = AccountKey::generate(&mut rand::rng());
    let digest = key.digest();
    let text = format!(
        "key     {}\ndigest  {digest}\nGive the key to the account's holder; put the digest into \
         its key_digests.",
        key.reveal()
    );
    let key = key.reveal();
    Reply::new(text, &KeyReply { key, digest })
}
