//! Decisions of the entry daemon, without network and under a clock of their own.

mod abandoned;
mod attempt;
mod bad_input;
mod belief;
mod endpoints;
mod ends;
mod events;
mod fake;
mod members;
mod outage;
mod overload;
mod peers;
mod restart;
mod scene;
mod settings;
mod shares;
mod walks;
