//! Tests of the entry daemon: its decisions without network on a simulated clock, and the running
//! daemon with simulated upstreams and store.

mod abandoned;
mod announced_limit;
mod bad_input;
mod belief_age;
mod broken_stream;
mod cut_answer;
mod endless;
mod endpoints;
mod events;
mod fake;
mod final_response;
mod fleet_bounds;
mod fleet_view;
mod freshness;
mod harness;
mod head_outcome;
mod kept_connection;
mod leaving;
mod log_walkthrough;
mod members;
mod not_an_answer;
mod odd_entry;
mod outage;
mod overload;
mod pace_records;
mod peers;
mod restart;
mod settings;
mod silent_upstream;
mod stream_admission;
mod stream_group;
mod suspect_content;
mod suspect_parts;
mod upstream_notice;
