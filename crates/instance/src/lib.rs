//! One slipturn instance: it takes requests of callers, sends them to engines and services (its upstreams), and
//! coordinates with other instances (its members).
//!
//! The modules by the lifetime of their state:
//!
//! - a request: `incoming_call`, `model_request`, `service_request`, `plan_client`, `memory_hold`, `long_answer`,
//!   `stream_policy`, `stream_state`, `silence_watch`, `upstream_attempt`, `event_stream`, `engine_fault`,
//!   `upstream_silence` and `request_record`;
//! - a connection: `caller_connection`, `document_call`, `upstream_connect`, `upstream_pool`, `member_relay` and
//!   `relay_server`;
//! - a version of routes or list: `fleet_state`, `list_update`, `list_recovery` and `raw_state`;
//! - the process: all others.
//!
//! The traits in `adapter` separate the crate from the formats of one platform.

pub mod adapter;
pub(crate) mod answer_end;
mod body_intake;
pub mod caller_connection;
mod cell_search;
pub mod compressed_bytes;
pub mod connection_slot;
pub mod context;
pub mod document_answers;
pub mod document_call;
mod engine_call;
mod engine_fault;
pub mod engine_reports;
pub mod event_stream;
pub mod failure_watch;
pub mod fleet_state;
pub mod heartbeats;
pub mod incoming_call;
pub mod instance_settings;
pub mod instance_stats;
mod intake;
pub mod internal_server;
pub mod lease_renewal;
mod limit_gossip;
pub mod link_probe;
pub mod list_recovery;
mod list_update;
pub mod listeners;
pub mod log_sink;
mod long_answer;
pub mod member_feed;
mod member_gossip;
pub mod member_relay;
pub mod memory_hold;
pub mod model_request;
mod no_open_upstream;
pub mod part_gossip;
mod part_trial;
pub mod peer_message;
pub mod peers;
mod permit_request;
pub mod plan_client;
pub mod planner_guard;
pub mod planner_set;
pub mod program;
pub mod quarantine_gate;
mod quarantine_gossip;
pub mod quota_coordinator;
mod raw_state;
pub mod relay_server;
pub mod request_record;
pub mod routes_history;
mod service_choice;
pub mod service_request;
pub mod settings_watch;
mod share_gossip;
pub mod share_rows;
pub mod silence_watch;
pub mod speed_gossip;
pub mod start_gate;
mod stop_gate;
mod store_call;
mod store_contact;
pub mod store_feed;
mod store_read;
mod store_watch;
mod stream_policy;
mod stream_state;
mod stream_target;
pub mod upstream_attempt;
pub mod upstream_connect;
pub mod upstream_ends;
pub mod upstream_gate;
mod upstream_links;
pub mod upstream_load;
pub mod upstream_pool;
mod upstream_rows;
mod upstream_signals;
pub mod upstream_silence;
pub mod upstream_starts;
