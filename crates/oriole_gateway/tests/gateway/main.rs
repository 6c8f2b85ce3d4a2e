//! Decisions of the entry daemon, without network and under a clock of their own.

mod abandoned;
mod bad_input;
mod endpoints;
mod events;
mod fake;
mod final_response;
mod fleet_bounds;
mod fleet_view;
mod harness;
mod head_outcome;
mod log_walkthrough;
mod members;
mod outage;
mod overload;
mod peers;
mod restart;
mod settings;
