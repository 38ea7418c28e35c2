//! Handles silent connections to upstreams: determines the cause, and closes other connections that
//! may be affected.

use std::{cell, time};

use slipturn_core::{connection_silence, ids};

use crate::{context, upstream_pool};

/// Minimum time between two log lines about silent connections, as one fault affects many requests.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// A wait for bytes on a connection that was given up.
pub struct SilentWait<'a> {
    /// The upstream that was to send the bytes.
    pub upstream: &'a ids::UpstreamId,
    /// When the connection was opened, and when bytes were last received on it.
    pub times: &'a upstream_pool::ConnectionTimes,
    /// The part of the answer that was awaited.
    pub phase: connection_silence::SilencePhase,
    /// Time for which nothing was received before the wait was given up.
    pub waited: time::Duration,
}

/// Rate limiter for log lines about silent connections.
#[derive(Debug, Default)]
pub struct SilenceLog {
    last: cell::Cell<Option<time::Instant>>,
    /// Number of lines suppressed since the last one that was logged.
    suppressed: cell::Cell<u64>,
}

/// Counts and logs a wait that was given up, and closes other connections that may be dead as well;
/// returns the probable cause.
pub fn note(
    context: &context::InstanceContext,
    wait: &SilentWait<'_>,
) -> connection_silence::SilenceCause {
    let cause = context.pool.cause(wait.times, wait.phase, wait.waited);
    context.stats.borrow_mut().count("silent", cause.label());
    let may_affect_others = cause.may_affect_others();
    let dropped =
        if may_affect_others { context.pool.close_untrusted(wait.times, wait.waited) } else { 0 };
    let log = &context.silence_log;
    if log.last.get().is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
        log.suppressed.set(log.suppressed.get() + 1);
        return cause;
    }
    log.last.set(Some(time::Instant::now()));
    log::info!(
        upstream:% = wait.upstream, cause = cause.label(), waited_ms = wait.waited.as_millis() as u64,
        dropped, held_back = log.suppressed.take(); "connections.silent"
    );
    cause
}
