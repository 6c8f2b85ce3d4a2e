//! The head of a request that an entry sends to an agent.

use crate::catalog::Priority;
use crate::digest::Digest;
use crate::ids::{AccountName, EntryName, IdempotencyKey};

domain_type! {
    /// A request without its body.
    pub struct RequestHead {
        /// Requested catalog entry.
        pub entry: EntryName,
        /// Client account of the caller.
        pub account: AccountName,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Priority when capacity is short.
        pub priority: Priority,
        /// Whether the answer is streamed.
        pub stream: bool,
        /// The caller's idempotency key, if it sent one.
        pub key: Option<IdempotencyKey>,
        /// Digest of the entry name and the body.
        pub content: Digest,
        /// Time left until the caller's deadline, in milliseconds.
        pub timeout_ms: u32,
        /// Number of tokens already delivered, from which a stream is resumed; 0 for a new stream.
        pub resume_from: u64,
    }
}
