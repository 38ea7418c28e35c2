//! Compares routing policies on identical arrivals in virtual time.
//!
//! Routing and placement use the production code (`EntryRouter`, `EngineLedger`). The engines are
//! replaced by the engine model of the stand-in, and network time is added as a constant per round
//! trip. A run therefore gives the same results on any computer, but it does not simulate the
//! network, processes and clocks of a cluster.

pub mod fake_engines;
pub mod planned_size;
pub mod planner_cost;
pub mod policy_run;
pub mod scenario;
pub mod summary;
