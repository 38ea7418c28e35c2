//! Faults that a test turns on over HTTP: `POST /faults` with a JSON object.

use std::{cell, rc};

use serde::Deserialize;

/// What goes wrong. A field left out is off.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Answers nothing, on any path but `/faults`, until turned off.
    pub down: bool,
    /// Takes no new work and says so in its load report, and by refusals.
    pub draining: bool,
    /// Refuses new work without saying why in its load report.
    pub refuse: bool,
    /// Closes the connection after reading a request, without an answer.
    pub close_before_answer: bool,
    /// Closes the connection after this many pieces of an answer.
    pub cut_after: Option<u64>,
    /// Sends nothing more after this many pieces, and leaves the connection open.
    pub hang_after: Option<u64>,
    /// Ends an answer properly, but without its last event, after this many pieces.
    pub short_after: Option<u64>,
    /// Echoes another attempt's id.
    pub wrong_attempt: bool,
    /// Does nothing about orders to cancel.
    pub ignore_cancels: bool,
    /// Runs a request to its end although the caller has gone.
    pub ignore_disconnects: bool,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Time before an answer, in milliseconds.
    pub delay_ms: u64,
    /// Answers this much older documents than the newest.
    pub stale_by: u64,
}

/// The plan in force, shared by a stand-in's tasks.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults(rc::Rc<cell::RefCell<FaultPlan>>);

impl SharedFaults {
    /// The plan in force.
    pub fn plan(&self) -> FaultPlan {
        self.0.borrow().clone()
    }

    /// Puts another plan in force.
    pub fn set(&self, plan: FaultPlan) {
        self.0.replace(plan);
    }
}
