//! The scheduler of one instance: queues, ledgers, budgets, votes and document distribution.
//!
//! One task changes the [`state`]; all others send it [`event::SchedulerEvent`]s.

pub mod document_sources;
pub mod document_store;
pub mod engine_client;
pub mod event;
pub mod program;
pub mod rpc_service;
pub mod state;
pub mod status;
