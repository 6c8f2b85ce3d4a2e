//! What a memory budget counts, and the reasons of its decisions.

use std::time::Duration;

use oriole_types::value_type;

value_type! {
    /// What a holder keeps in memory.
    pub enum Kind {
        /// A connection from a caller.
        Connection,
        /// A request: its head, its task and its body.
        Request,
        /// A buffered response.
        Response,
        /// Events that wait for a caller which reads slowly.
        Stream,
    }
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 4] = [
        Self::Connection,
        Self::Request,
        Self::Response,
        Self::Stream,
    ];

    /// Name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Response => "response",
            Self::Stream => "stream",
        }
    }
}

value_type! {
    /// How far a holder is. It decides whether the holder may be cut off.
    pub enum Class {
        /// Its bytes are still coming in, and nothing was sent to an upstream.
        Unfinished,
        /// Its request is running. It is never cut off.
        Running,
        /// It waits for a slow reader.
        Unread,
    }
}

value_type! {
    /// Identifies a holder. An identifier stays invalid after its holder was closed or cut off.
    pub struct HolderId {
        pub(crate) index: u32,
        pub(crate) generation: u32,
    }
}

impl HolderId {
    /// Index of the holder in a table. Indices of closed holders are used again.
    #[must_use]
    pub fn index(self) -> usize {
        self.index as usize
    }
}

/// Whom a new holder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// What is kept.
    pub kind: Kind,
    /// How far it is at the start.
    pub class: Class,
    /// Hash of the client account; callers without an account count as one.
    pub account: Option<u64>,
}

impl Owner {
    /// A holder without an account. A response starts as running, the others as unfinished.
    #[must_use]
    pub fn of(kind: Kind) -> Self {
        let class = match kind {
            Kind::Connection | Kind::Request => Class::Unfinished,
            Kind::Response | Kind::Stream => Class::Running,
        };
        Self {
            kind,
            class,
            account: None,
        }
    }
}

value_type! {
    /// Why a holder is cut off.
    pub enum CutOffReason {
        /// It is unfinished and has received nothing for [`crate::budget::STALL_TIME`].
        Stalled,
        /// Its caller has taken nothing for [`crate::budget::UNREAD_TIME`].
        Unread,
        /// It is the largest unfinished body.
        Largest,
        /// All connections are taken, and it has waited longest.
        Connections,
    }
}

impl CutOffReason {
    /// Name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Unread => "unread",
            Self::Largest => "largest",
            Self::Connections => "connections",
        }
    }
}

/// A holder to be cut off. The budget does not count its bytes any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// Which holder.
    pub id: HolderId,
    /// What it kept.
    pub kind: Kind,
    /// Bytes that it held.
    pub bytes: u64,
    /// Time since its last progress.
    pub age: Duration,
    /// Why it is cut off.
    pub reason: CutOffReason,
}

/// Why a charge is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Shortage {
    /// The whole budget is held.
    #[error("budget")]
    Budget,
    /// The part of the budget for large holders is held.
    #[error("large bodies")]
    LargePart,
    /// The account holds its share of the part for large holders.
    #[error("account share")]
    AccountShare,
    /// All connections are taken, and each carries a running request or a response.
    #[error("connections")]
    Connections,
    /// The holder was cut off or closed before.
    #[error("cut off")]
    Gone,
}

impl Shortage {
    /// Name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::LargePart => "large_bodies",
            Self::AccountShare => "account_share",
            Self::Connections => "connections",
            Self::Gone => "cut_off",
        }
    }
}
