//! Commands of `slipturnctl` and the formatting of their results.

pub mod commands;
pub mod table;
