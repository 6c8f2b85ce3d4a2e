//! Liveness and load of the fleet's processes, from the VM list, heartbeats and digests.
#![forbid(unsafe_code)]
