//! Entry-side decisions: endpoint answers, limits, queues, picking and retries.
#![forbid(unsafe_code)]
