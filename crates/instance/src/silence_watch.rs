//! Waiting for an engine, and when its silence ends an attempt.

use std::{pin, time};

use futures::future;
use slipturn_core::units;

use crate::{adapter, context, engine_call, incoming_call, upstream_attempt, upstream_starts};

/// Time between two questions to an engine on which memory set aside elsewhere depends.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(900);
/// Time for its answer.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Questions in a row without an answer after which it is taken for gone. Memory must be free
/// again within seconds of the end of the request that used it, also without a message.
const PROBE_MISSES: u32 = 2;
/// Reports in a row, once an answer has begun, by which no request uses the memory set aside for
/// it: what is awaited has ended, and its connection has fallen silent. A report may be some
/// hundred milliseconds old, so one is not enough.
const UNUSED_REPORTS: u32 = 2;

/// Why an attempt is given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitFault {
    /// The engine is silent, or its silence holds unused memory.
    Silent(String),
    /// It has started again: what is awaited was lost with the start before.
    Restarted,
}

/// When a silent engine is given up.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    /// If another engine may go on.
    pub other: time::Duration,
    /// If it may go on itself, over a new connection: a silent connection and a slow engine look
    /// alike, so this is the last moment at which that helps a caller who still waits.
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

/// Watches over one attempt at an engine.
pub struct SilenceWatch<'a> {
    /// The process.
    pub context: &'a context::InstanceContext,
    /// The request.
    pub call: &'a incoming_call::IncomingCall,
    /// The engine.
    pub engine: engine_call::EngineAddress,
    /// Where memory is set aside for the attempt, and its ticket there.
    pub held: Option<(engine_call::EngineAddress, String)>,
    /// Whether the answer has begun.
    pub answering: bool,
    /// Until when such memory may wait for the answer's first event; nothing once it is out.
    pub unused_until: Option<units::MonoTime>,
}

impl SilenceWatch<'_> {
    /// Waits for `work`, or until the start of the engine that has it is `over`; the error says why it
    /// is given up. `over` is awaited from the sending on: a restart between two waits ends the next.
    ///
    /// After each of `limits` the engine is given up if one within its reach may go on, which the
    /// retry budget decides through `take_retry`. Silence alone is no reason to end an answer that
    /// no other can give, unless memory lies unused for it.
    pub async fn wait<T>(
        &self,
        work: pin::Pin<&mut impl Future<Output = T>>,
        over: pin::Pin<&mut impl Future<Output = ()>>,
        limits: SilenceLimits,
        take_retry: impl AsyncFnMut(upstream_attempt::RetryReach) -> bool,
    ) -> Result<T, WaitFault> {
        let silence = pin::pin!(self.until_given_up(work, limits, take_retry));
        match future::select(silence, over).await {
            future::Either::Left((waited, _)) => waited.map_err(WaitFault::Silent),
            future::Either::Right(_) => Err(WaitFault::Restarted),
        }
    }

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

    /// Whether the engine answers, and whether the memory set aside for its answer lies unused. One that wants rest
    /// is not asked: it has just answered, by asking for that.
    async fn probe(&self, holder: &engine_call::EngineAddress, ticket: &str) -> (bool, bool) {
        let answers = self.report(&self.engine).await.is_some();
        (answers, self.answering && answers && self.is_unused(holder, ticket).await)
    }

    /// Asks over a connection of its own, as the answer's may be the one that is silent; an
    /// unreadable report is an answer, too.
    async fn report(
        &self,
        engine: &engine_call::EngineAddress,
    ) -> Option<Option<adapter::EngineReport>> {
        let asked = self.context.now();
        let body = match engine_call::report(self.context, engine, PROBE_TIMEOUT).await {
            Ok(body) => body,
            Err(engine_call::EngineCallError::Denied { .. }) => return Some(None),
            Err(engine_call::EngineCallError::Call { .. }) => return None,
        };
        let report = self.context.adapter.read_report(&body).ok();
        let start = report.as_ref().and_then(|report| report.start);
        upstream_starts::receive(self.context, engine.address, start, asked);
        Some(report)
    }

    async fn is_unused(&self, holder: &engine_call::EngineAddress, ticket: &str) -> bool {
        let report = self.report(holder).await.flatten();
        report.and_then(|report| report.uses(ticket)) == Some(false)
    }
}
