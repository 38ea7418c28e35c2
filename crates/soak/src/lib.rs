//! Runs real instances as processes, injects faults from outside, checks what callers and
//! upstreams see. A seed decides the whole plan; clients' own timing does not repeat exactly.

pub mod check;
mod closing;
pub mod config_check;
pub mod config_probe;
pub mod contact_plan;
mod drill_plan;
pub mod evidence;
pub mod fault_plan;
mod fault_series;
pub mod leave_check;
mod limit_check;
mod limit_plan;
mod odd_plan;
pub mod run;
mod store_drill;
mod struck_fleet;
pub mod traffic;
mod word_check;
mod word_plan;
mod zone_plan;
