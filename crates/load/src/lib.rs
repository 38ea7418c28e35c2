//! Open-loop load generator: requests are sent at their scheduled times, whether or not earlier
//! ones have completed, because independent callers do not wait for each other either.
//!
//! Every response is compared word for word with the output that the stand-in engine generates for
//! the prompt, which detects responses that are truncated, duplicated or meant for another request.

pub mod arrivals;
pub mod caller;
pub mod report;
