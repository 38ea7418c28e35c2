//! Fleet-wide rate limits of engines: those that this process enforces, and those that another process enforces.

use std::{collections, time};

use crate::{ids, quota_ledger, send_pace, units};

/// When an engine's rate limit permits requests, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct PermitTimes {
    /// Time until the next permit: 0 without a limit, infinite if another process enforces the limit.
    pub(crate) wait_ms: f64,
    /// Time between two permits; 0 if this process enforces no limit.
    pub(crate) interval_ms: f64,
}

/// Rate limits of one planner's engines.
#[derive(Debug, Default)]
pub(crate) struct EngineLimits {
    /// Permits of the limits that this process enforces.
    pub(crate) permits: quota_ledger::QuotaLedger<ids::UpstreamId>,
    /// Engines whose limit another process enforces.
    elsewhere: collections::BTreeSet<ids::UpstreamId>,
}

impl EngineLimits {
    /// Replaces all limits; an engine in neither collection has none.
    pub(crate) fn set(
        &mut self,
        now: units::MonoTime,
        enforced: &collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
        elsewhere: collections::BTreeSet<ids::UpstreamId>,
    ) {
        self.permits.set_coordinated(now, enforced);
        self.elsewhere = elsewhere;
    }

    /// Requests per second that this planner may send to an engine: `None` without a limit, 0 if another process
    /// enforces the limit.
    pub(crate) fn rate(&self, engine: &ids::UpstreamId) -> Option<f64> {
        let enforced = self.permits.bound(engine).map(|bound| bound.rate.per_second());
        enforced.or_else(|| self.elsewhere.contains(engine).then_some(0.0))
    }

    /// When this planner may send requests to an engine.
    pub(crate) fn times(&self, now: units::MonoTime, engine: &ids::UpstreamId) -> PermitTimes {
        let millis = |span: time::Duration| span.as_secs_f64() * 1_000.0;
        match (self.permits.wait(now, engine), self.permits.bound(engine)) {
            (Some(wait), Some(bound)) => {
                PermitTimes { wait_ms: millis(wait), interval_ms: millis(bound.interval()) }
            }
            _ if self.elsewhere.contains(engine) => {
                PermitTimes { wait_ms: f64::INFINITY, interval_ms: 0.0 }
            }
            _ => PermitTimes::default(),
        }
    }

    /// Takes a permit for each of `engines` whose limit this process enforces, and returns those engines. `requester`
    /// is the boot id of the member that sends the request.
    pub(crate) fn take<'a>(
        &mut self,
        now: units::MonoTime,
        engines: impl Iterator<Item = &'a ids::UpstreamId>,
        requester: u64,
    ) -> Vec<ids::UpstreamId> {
        let limited = engines.filter(|engine| self.permits.take(now, engine, requester));
        limited.cloned().collect()
    }
}
