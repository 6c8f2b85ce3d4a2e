//! Entry daemon: accepts callers' requests and steers them to agents.
#![forbid(unsafe_code)]
