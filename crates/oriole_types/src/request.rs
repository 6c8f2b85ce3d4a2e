//! What an entry tells an agent about one request, without its body.

use crate::catalog::Priority;
use crate::digest::Digest;
use crate::ids::{AccountName, EntryName, IdempotencyKey};

domain_type! {
    /// Head of a request.
    pub struct RequestHead {
        /// Catalog entry that is requested.
        pub entry: EntryName,
        /// Account that requests it.
        pub account: AccountName,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Urgency.
        pub priority: Priority,
        /// Whether the answer is streamed.
        pub stream: bool,
        /// The caller's idempotency key.
        pub key: Option<IdempotencyKey>,
        /// Digest of entry name and body.
        pub content: Digest,
        /// Time left until the caller's deadline, in milliseconds.
        pub timeout_ms: u32,
        /// Position from which a stream is resumed, in tokens.
        pub resume_from: u64,
    }
}
