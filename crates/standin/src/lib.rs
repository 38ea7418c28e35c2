//! Stand-ins for the systems that slipturn talks to: an engine, a plain service and the platform.
//!
//! They are small, serve tests and trials only, and implement the public interface of the systems
//! they replace. [`engine_model`] uses neither sockets nor clocks, so that programs with virtual
//! time can use it too.

pub mod engine;
pub mod engine_model;
pub mod faults;
pub mod platform;
pub mod service;
