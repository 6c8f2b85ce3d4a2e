//! Operators' command line: oriolectl.
//!
//! The tour:
//!
//! - [`args`]: the commands and their options.
//! - [`settings`]: where the store and the VM list are, and who the operator is.
//! - [`ctl`]: [`ctl::Ctl`] runs commands; embed it to run them within another process.
//! - [`commands`]: what each command does.
//! - [`fleet`]: asking the VM list and the entries.
//! - [`reply`], [`error`]: results as tables or JSON, and errors with exit codes for scripts.
#![forbid(unsafe_code)]

pub mod args;
pub mod commands;
pub mod ctl;
pub mod error;
pub mod fleet;
pub mod http_get;
pub mod reply;
pub mod settings;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::args::{Args, Command};
    pub use crate::ctl::Ctl;
    pub use crate::error::{CtlError, ExitStatus};
    pub use crate::reply::Reply;
    pub use crate::settings::Settings;
}
