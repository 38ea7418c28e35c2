//! Engines with a rate limit for all instances: what this process may grant of it, and what another
//! one keeps.

use std::{collections, time};

use crate::{ids, quota_ledger, send_pace, units};

/// Time until an engine's limit lets a request through, and between two of them, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct PermitTimes {
    /// 0 without a limit, endless where another process keeps it.
    pub(crate) wait_ms: f64,
    /// 0 without a limit.
    pub(crate) interval_ms: f64,
}

/// The limits of one planner's engines.
#[derive(Debug, Default)]
pub(crate) struct EngineLimits {
    /// Those that this process keeps.
    pub(crate) permits: quota_ledger::QuotaLedger<ids::UpstreamId>,
    /// Engines whose limit another process keeps.
    elsewhere: collections::BTreeSet<ids::UpstreamId>,
}

impl EngineLimits {
    /// Sets which engines have a limit.
    pub(crate) fn set(
        &mut self,
        now: units::MonoTime,
        kept: &collections::BTreeMap<ids::UpstreamId, send_pace::PaceBound>,
        elsewhere: collections::BTreeSet<ids::UpstreamId>,
    ) {
        self.permits.set_coordinated(now, kept);
        self.elsewhere = elsewhere;
    }

    /// Requests a second that an engine gets from here; `None` without a limit.
    pub(crate) fn rate(&self, engine: &ids::UpstreamId) -> Option<f64> {
        let kept = self.permits.bound(engine).map(|bound| bound.rate.per_second());
        kept.or_else(|| self.elsewhere.contains(engine).then_some(0.0))
    }

    /// When an engine may get requests.
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

    /// Grants a permit for each of these engines that has a limit; returns which of them do.
    pub(crate) fn take<'a>(
        &mut self,
        now: units::MonoTime,
        engines: impl Iterator<Item = &'a ids::UpstreamId>,
        asker: u64,
    ) -> Vec<ids::UpstreamId> {
        let limited = engines.filter(|engine| self.permits.take(now, engine, asker));
        limited.cloned().collect()
    }
}
