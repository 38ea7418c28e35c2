//! Messages between slipturn's own processes, in Cap'n Proto.
//!
//! `schema/scheduler.capnp` is the source of the generated module, which is committed so that the
//! build needs no generator. [`convert`] turns messages into the types of the decision logic.

pub mod convert;

#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::cast_lossless,
    clippy::semicolon_if_nothing_returned,
    clippy::unwrap_used
)]
pub mod scheduler_capnp;
