//! Runs real instances as processes, injects faults from outside, checks what callers and
//! upstreams see. A seed decides the whole plan; clients' own timing does not repeat exactly.

pub mod check;
pub mod config_check;
pub mod config_probe;
pub mod contact_plan;
mod data_center_plan;
mod drill_plan;
mod entry_plan;
pub mod evidence;
mod fault_injector;
pub mod fault_plan;
mod fault_series;
mod final_checks;
pub mod leave_check;
mod limit_check;
mod limit_plan;
pub mod run;
mod signal_check;
mod signal_plan;
mod store_drill;
pub mod traffic;
