//! Decision logic of slipturn.
//!
//! Nothing here opens a socket or reads a clock: the time and messages come in as arguments, and
//! actions go out as values. One test can therefore freeze, cut, reorder and repeat anything.

pub mod beat_clock;
pub mod budget;
pub mod class_worth;
pub mod cold_start;
pub mod connection_share;
pub mod connection_silence;
pub mod decision;
pub mod document_lag;
pub mod document_source;
pub mod engine_directory;
mod engine_estimate;
pub mod engine_ledger;
pub mod engine_place;
mod engine_room;
pub mod entry_router;
mod evacuation;
pub mod failure_detector;
pub mod fair_queue;
pub mod fleet_budget;
pub mod fleet_list;
pub mod gossip;
pub mod histogram;
pub mod ids;
pub mod key_vote;
pub mod list_recovery;
pub mod member_beat;
pub mod membership;
pub mod pass_model;
pub mod permit_cache;
pub mod placement;
pub mod planner;
pub mod planner_key;
pub mod quota_ledger;

pub mod quarantine;
pub mod quota_permit;
pub mod refusal;
pub mod rendezvous;
pub mod request_digest;
mod request_limits;
pub mod retry;
pub mod retry_need;
pub mod return_line;
pub mod route_table;
pub mod routing;
pub mod search_budget;
pub mod send_counts;
pub mod send_gate;
pub mod send_pace;
pub mod service_rank;
pub mod settings;
pub mod settings_resolve;
mod start_record;
pub mod start_wait;
pub mod store_belief;
pub mod store_revision;
pub mod units;
pub mod upstream_health;
pub mod upstream_limit;
pub mod upstream_list;
pub mod upstream_notice;
mod upstream_open;
pub mod version_store;
mod wake_watch;
