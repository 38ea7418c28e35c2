//! Runs real instances as processes, injects faults from outside, checks what callers and
//! upstreams see. A seed decides the whole plan; clients' own timing does not repeat exactly.

pub mod check;
pub mod fault_plan;
pub mod run;
pub mod traffic;
