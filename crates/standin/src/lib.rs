//! Stand-ins for what slipturn meets: an engine, a plain service, the platform.
//!
//! They are scaffolding for tests and trials, kept small, and speak the published side of what
//! they stand for. [`engine_model`] is free of sockets and clocks, so that benches use it too.

pub mod engine;
pub mod engine_model;
pub mod faults;
pub mod platform;
pub mod service;
