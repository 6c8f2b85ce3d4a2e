//! Length-delimited prost frames between oriole processes, with handshake, multiplexing and flow control.
#![forbid(unsafe_code)]
