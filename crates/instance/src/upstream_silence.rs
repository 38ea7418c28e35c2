//! Silent connections to upstreams: what they are taken for, and what that does to others.

use std::{cell, time};

use slipturn_core::{connection_silence, ids};

use crate::{context, upstream_pool};

/// Shortest time between two log lines; one silence strikes many requests.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// A wait on a connection that was given up.
pub struct SilentWait<'a> {
    /// The upstream.
    pub upstream: &'a ids::UpstreamId,
    /// The connection.
    pub life: &'a upstream_pool::ConnectionLife,
    /// What was awaited.
    pub moment: connection_silence::SilencePhase,
    /// How long.
    pub waited: time::Duration,
}

/// When silences were last logged.
#[derive(Debug, Default)]
pub struct SilenceLog {
    last: cell::Cell<Option<time::Instant>>,
    held_back: cell::Cell<u64>,
}

/// Draws the conclusions of a wait that is given up; returns what it is taken for.
pub fn note(
    context: &context::InstanceContext,
    wait: &SilentWait<'_>,
) -> connection_silence::SilenceCause {
    let cause = context.pool.cause(wait.life, wait.moment, wait.waited);
    context.stats.borrow_mut().count("silent", cause.label());
    let doubted = cause.doubts_others();
    let dropped = if doubted { context.pool.drop_untrusted(wait.life, wait.waited) } else { 0 };
    let log = &context.silence_log;
    if log.last.get().is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
        log.held_back.set(log.held_back.get() + 1);
        return cause;
    }
    log.last.set(Some(time::Instant::now()));
    log::info!(
        upstream:% = wait.upstream, cause = cause.label(), waited_ms = wait.waited.as_millis() as u64,
        dropped, held_back = log.held_back.take(); "connections.silent"
    );
    cause
}
