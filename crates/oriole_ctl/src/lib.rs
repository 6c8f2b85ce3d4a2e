//! The operators' command line, `oriolectl`, as a library.
//!
//! Modules:
//!
//! - [`args`]: the commands and their options.
//! - [`settings`]: addresses of the store and the VM list, the operator's name, and timeouts.
//! - [`ctl`]: [`ctl::Ctl`] runs commands; embed it to run them within another process.
//! - [`commands`]: the implementation of each command.
//! - [`fleet`]: reads the VM list and the status of the entries.
//! - [`http_get`]: reads JSON over HTTP.
//! - [`reply`]: results as tables or JSON.
//! - [`error`]: errors and their exit codes.
#![forbid(unsafe_code)]

pub mod args;
pub mod commands;
pub mod ctl;
pub mod error;
pub mod fleet;
pub mod http_get;
pub mod reply;
pub mod settings;

/// The types that other crates usually need from this one.
pub mod prelude {
    pub use crate::args::{Args, Command};
    pub use crate::ctl::Ctl;
    pub use crate::error::{CtlError, ExitStatus};
    pub use crate::reply::Reply;
    pub use crate::settings::Settings;
}
