//! Cap'n Proto messages between the processes of slipturn.
//!
//! [`scheduler_capnp`] is generated from `schema/scheduler.capnp` and committed, so that the build needs
//! no schema compiler. [`convert`] converts the messages to and from the types of `slipturn-core`.

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
