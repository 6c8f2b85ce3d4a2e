//! Memory budget of a daemon that serves callers which nobody controls.
//!
//! One [`budget::MemoryBudget`] counts everything that a daemon holds for callers and upstreams:
//! connections, requests with their bodies, buffered responses and streams that are read slowly. Its
//! inputs are events and the time; it returns which holders are to be cut off. It has no I/O and no
//! clock, so the daemon carries the decisions out.
//!
//! Modules:
//!
//! - [`budget`]: charges, shares and the choice of holders to cut off.
//! - [`holder`]: what is counted, and the reasons of decisions.
//! - [`blocks`]: bodies in blocks of known capacity.
//!
//! ```
//! use std::time::Duration;
//! use oriole_memory::prelude::*;
//!
//! let mut budget = MemoryBudget::new(BudgetConfig::for_memory(64, 1000));
//! let now = Duration::ZERO;
//! let owner = Owner { account: Some(7), ..Owner::of(Kind::Request) };
//! let body = budget.open(now, owner, 4096).unwrap();
//! assert!(body.cut_off.is_empty());
//! assert_eq!(budget.charge(now, body.id, 16 * 1024), Ok(Vec::new()));
//! assert_eq!(budget.held(), 4096 + 16 * 1024);
//! budget.close(body.id);
//! assert_eq!(budget.held(), 0);
//! ```
#![forbid(unsafe_code)]

pub mod blocks;
pub mod budget;
pub mod holder;

/// The items that a daemon usually needs from this crate.
pub mod prelude {
    pub use crate::blocks::{BLOCK_BYTES, BlockBuffer, Blocks};
    pub use crate::budget::{BudgetConfig, MemoryBudget, Opened};
    pub use crate::holder::{Class, CutOff, CutOffReason, HolderId, Kind, Owner, Shortage};
}
