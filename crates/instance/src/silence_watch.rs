//! Waits for an engine and decides when its silence ends an attempt.

use std::{pin, time};

use futures::future;
use slipturn_core::units;

use crate::{adapter, context, engine_call, incoming_call, upstream_attempt, upstream_starts};

/// Interval between two probes of an engine for whose answer memory is reserved on other engines.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(900);
/// Timeout of a probe, which requests the engine's report.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Number of consecutive unanswered probes after which the engine counts as gone. Memory must be
/// free within seconds of the end of the request that used it, even if the end is not announced.
const PROBE_MISSES: u32 = 2;
/// Number of consecutive reports, after the answer has begun, that show the reserved memory as
/// unused before the attempt is given up: the answer has ended and its connection fell silent. One
/// is not enough, as a report may be some hundred milliseconds old.
const UNUSED_REPORTS: u32 = 2;

/// Why an attempt was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitFault {
    /// The engine is silent for too long, or memory stays reserved for its answer although no request uses the memory.
    /// The text says which.
    Silent(String),
    /// The engine was restarted, so the answer is lost.
    Restarted,
}

/// Durations of silence after which an engine is given up.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    /// Limit if another engine can continue the request.
    pub other: time::Duration,
    /// Limit if the same engine can continue the request over a new connection. A dead connection
    /// cannot be distinguished from a slow engine, so this is the last moment at which the answer to a
    /// retry still reaches the caller in time.
    pub any: time::Duration,
}

impl SilenceLimits {
    fn stages(self) -> [(time::Duration, upstream_attempt::RetryReach); 2] {
        let any = self.any.max(self.other);
        [
            (self.other, upstream_attempt::RetryReach::OtherUpstream),
            (any, upstream_attempt::RetryReach::AnyUpstream),
        ]
    }
}

/// Watches an engine during one attempt.
pub struct SilenceWatch<'a> {
    /// State of the process.
    pub context: &'a context::InstanceContext,
    /// The request being served.
    pub call: &'a incoming_call::IncomingCall,
    /// The engine that answers.
    pub engine: engine_call::EngineAddress,
    /// An engine with memory reserved for the attempt, and the ticket of the reservation; `None` if no
    /// memory is reserved.
    pub held: Option<(engine_call::EngineAddress, String)>,
    /// Whether the answer has begun.
    pub answering: bool,
    /// Until when reserved memory may wait for the first event; `None` once that event has arrived,
    /// or if no memory is reserved.
    pub unused_until: Option<units::MonoTime>,
}

impl SilenceWatch<'_> {
    /// Waits for `work`, or until `upstream_ended` signals that the engine was restarted; the error
    /// says why the attempt is given up. `upstream_ended` must be created before the request is sent,
    /// so that a restart between two waits ends the next one.
    ///
    /// After each of `limits` the engine is given up if `take_retry` returns true; its argument says which upstreams
    /// may continue the request after that limit. Silence alone does not end an answer that cannot be retried, unless
    /// memory stays reserved for the answer although no request uses the memory.
    pub async fn wait<T>(
        &self,
        work: pin::Pin<&mut impl Future<Output = T>>,
        upstream_ended: pin::Pin<&mut impl Future<Output = ()>>,
        limits: SilenceLimits,
        take_retry: impl AsyncFnMut(upstream_attempt::RetryReach) -> bool,
    ) -> Result<T, WaitFault> {
        let silence = pin::pin!(self.until_given_up(work, limits, take_retry));
        match future::select(silence, upstream_ended).await {
            future::Either::Left((waited, _)) => waited.map_err(WaitFault::Silent),
            future::Either::Right(_) => Err(WaitFault::Restarted),
        }
    }

    /// Waits for `work` until a limit, a failed probe or unused memory ends the attempt.
    async fn until_given_up<T>(
        &self,
        mut work: pin::Pin<&mut impl Future<Output = T>>,
        limits: SilenceLimits,
        mut take_retry: impl AsyncFnMut(upstream_attempt::RetryReach) -> bool,
    ) -> Result<T, String> {
        let started = self.context.now();
        let mut stages = limits.stages().into_iter().peekable();
        let mut misses = 0;
        let mut unused = 0;
        loop {
            let spent = self.context.now().since(started);
            let mut slice = self.call.left(self.context.now()) + PROBE_INTERVAL;
            if let Some((limit, _)) = stages.peek() {
                slice = slice.min(limit.saturating_sub(spent));
            }
            if self.held.is_some() {
                slice = slice.min(PROBE_INTERVAL);
            }
            if let Ok(done) = monoio::time::timeout(slice, work.as_mut()).await {
                return Ok(done);
            }
            if let Some((holder, ticket)) = &self.held {
                let probing = pin::pin!(self.probe(holder, ticket));
                let (answers, idle) = match future::select(work.as_mut(), probing).await {
                    future::Either::Left((done, _)) => return Ok(done),
                    future::Either::Right((seen, _)) => seen,
                };
                misses = if answers { 0 } else { misses + 1 };
                if misses >= PROBE_MISSES {
                    return Err("the engine does not answer any more".to_owned());
                }
                unused = if idle { unused + 1 } else { 0 };
                if unused >= UNUSED_REPORTS {
                    return Err("no request uses the memory set aside any more".to_owned());
                }
            }
            if self.unused_until.is_some_and(|until| self.context.now() >= until) {
                return Err("memory was set aside and the answer did not begin".to_owned());
            }
            let spent = self.context.now().since(started);
            if let Some((limit, reach)) = stages.next_if(|(limit, _)| spent >= *limit)
                && take_retry(reach).await
            {
                return Err(format!("silent for {limit:?}"));
            }
        }
    }

    /// Returns whether the engine answers, and whether the reserved memory is unused. An engine for which
    /// `upstream_gate` denies the probe is not probed and counts as answering: it has just answered if it requested a
    /// backoff.
    async fn probe(&self, holder: &engine_call::EngineAddress, ticket: &str) -> (bool, bool) {
        let answers = self.report(&self.engine).await.is_some();
        (answers, self.answering && answers && self.is_unused(holder, ticket).await)
    }

    /// Requests a report over a new connection, as the connection of the answer may be dead. Returns `None` if the
    /// engine does not answer, and `Some(None)` if its report is unreadable or `upstream_gate` denied the request.
    async fn report(
        &self,
        engine: &engine_call::EngineAddress,
    ) -> Option<Option<adapter::EngineReport>> {
        let requested_at = self.context.now();
        let body = match engine_call::report(self.context, engine, PROBE_TIMEOUT).await {
            Ok(body) => body,
            Err(engine_call::EngineCallError::Denied { .. }) => return Some(None),
            Err(
                engine_call::EngineCallError::Connect { .. }
                | engine_call::EngineCallError::Call { .. }
                | engine_call::EngineCallError::Unconfirmed { .. },
            ) => return None,
        };
        let report = self.context.adapter.parse_report(&body).ok();
        let start = report.as_ref().and_then(|report| report.start);
        upstream_starts::receive(self.context, engine.address, start, requested_at);
        Some(report)
    }

    async fn is_unused(&self, holder: &engine_call::EngineAddress, ticket: &str) -> bool {
        let report = self.report(holder).await.flatten();
        report.and_then(|report| report.uses(ticket)) == Some(false)
    }
}
