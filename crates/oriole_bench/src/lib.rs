//! Load and experiment tool: figures as JSON lines and plots.
#![forbid(unsafe_code)]
