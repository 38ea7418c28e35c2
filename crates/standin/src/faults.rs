//! Faults that a test enables over HTTP: `POST /faults` with a [`FaultPlan`] as JSON.

use std::{cell, rc};

use serde::Deserialize;

/// The faults to simulate. A field that is left out is off.
///
/// Each stand-in honours only the faults that apply to it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Sends no response on any path except `/faults`; the platform closes the connection and
    /// still serves `/documents` and `/counts`.
    pub down: bool,
    /// Refuses new requests and reports `draining` in the load report.
    pub draining: bool,
    /// Refuses new requests without a change in the load report.
    pub refuse: bool,
    /// Closes the connection without a response once the request has been read and started.
    pub close_before_answer: bool,
    /// Closes the connection after this many chunks of a response.
    pub cut_after: Option<u64>,
    /// Stops sending after this many chunks of a response, and leaves the connection open.
    pub hang_after: Option<u64>,
    /// Ends a response after this many chunks with a valid end of stream, but without its last
    /// event.
    pub short_after: Option<u64>,
    /// Returns the id of a different attempt in `x-attempt-id`.
    pub wrong_attempt: bool,
    /// Ignores requests to cancel an attempt.
    pub ignore_cancels: bool,
    /// Runs a request to completion after the caller has disconnected.
    pub ignore_disconnects: bool,
    /// Minimum age of the load reports that are returned, in milliseconds.
    pub report_lag_ms: u64,
    /// Delay before a response, in milliseconds.
    pub delay_ms: u64,
    /// Number of versions by which a returned document is older than the newest.
    pub stale_by: u64,
}

/// The current fault plan, shared by the tasks of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults(rc::Rc<cell::RefCell<FaultPlan>>);

impl SharedFaults {
    /// Returns a copy of the current fault plan, which later changes do not affect.
    pub fn plan(&self) -> FaultPlan {
        self.0.borrow().clone()
    }

    /// Replaces the whole fault plan: a fault that `plan` does not set is turned off.
    pub fn set(&self, plan: FaultPlan) {
        self.0.replace(plan);
    }
}
