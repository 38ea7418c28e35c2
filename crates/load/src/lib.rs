//! Open-loop load: arrivals do not wait for answers, as callers do not wait for each other.
//!
//! Each answer is checked to the last word against what the stand-in engine gives for its prompt,
//! so that a cut, crossed or doubled answer is counted as such.

pub mod arrivals;
pub mod caller;
pub mod report;
