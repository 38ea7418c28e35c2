//! Compares routing policies on the same arrivals.
//!
//! The decisions are the real ones (`EntryRouter`, `EngineLedger`); the engines are the stand-in's
//! model; time is virtual, so that a run gives the same figures on any machine. It is a fake at
//! the engines' interface and no simulator of a cluster: no network, no processes, no clocks.

pub mod fake_engines;
pub mod planned_size;
pub mod planner_cost;
pub mod policy_run;
pub mod scenario;
pub mod summary;
