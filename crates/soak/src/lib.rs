//! Runs real instances as processes, injects faults from outside and checks what clients and
//! upstreams observe. A seed determines the plan of faults; the timing of clients varies between
//! runs.

pub mod check;
pub mod config_check;
pub mod config_probe;
pub mod contact_plan;
mod data_center_plan;
mod drill_plan;
mod endless_plan;
mod engine_plan;
mod entry_plan;
pub mod evidence;
mod fault_injector;
pub mod fault_plan;
mod fault_series;
mod final_checks;
mod framing_plan;
pub mod grace_plan;
mod invalid_plan;
mod late_traffic;
pub mod leave_check;
mod limit_check;
mod limit_plan;
mod part_check;
mod partition_check;
mod partition_plan;
mod process_watch;
mod restart_check;
mod return_check;
mod return_faults;
pub mod return_plan;
pub mod run;
mod signal_check;
mod signal_plan;
mod store_drill;
pub mod traffic;
