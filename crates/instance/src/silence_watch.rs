//! Waiting for an engine, and when its silence ends an attempt.

use std::{net, pin, time};

use slipturn_core::units;

use crate::{context, document_call, incoming_call};

/// Time between two questions to an engine on which memory set aside elsewhere depends.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(900);
/// Time for its answer.
const PROBE_TIME: time::Duration = time::Duration::from_millis(400);
/// Questions in a row without an answer after which it is taken for gone. Memory must be free
/// again within seconds of the end of the request that used it, also when nobody says so.
const PROBE_MISSES: u32 = 2;

/// Watches over one attempt at an engine.
pub struct SilenceWatch<'a> {
    /// The process.
    pub context: &'a context::InstanceContext,
    /// The request.
    pub call: &'a incoming_call::IncomingCall,
    /// The engine.
    pub address: net::SocketAddrV4,
    /// Whether memory is set aside elsewhere for the attempt.
    pub holds: bool,
    /// Until when such memory may wait for the answer's first event; nothing once it is out.
    pub unused_until: Option<units::MonoTime>,
}

impl SilenceWatch<'_> {
    /// Waits for `work`; the error says why it is given up.
    ///
    /// After `limit` the engine is given up if another may go on, which the retry budget decides
    /// through `take_retry`. Silence alone is no reason to end an answer that nobody else can give,
    /// unless memory lies unused for it.
    pub async fn wait<T>(
        &self,
        mut work: pin::Pin<&mut impl Future<Output = T>>,
        limit: time::Duration,
        mut take_retry: impl FnMut() -> bool,
    ) -> Result<T, String> {
        let started = self.context.now();
        let mut limited = true;
        let mut misses = 0;
        loop {
            let spent = self.context.now().since(started);
            let mut slice = self.call.left(self.context.now()) + PROBE_INTERVAL;
            if limited {
                slice = slice.min(limit.saturating_sub(spent));
            }
            if self.holds {
                slice = slice.min(PROBE_INTERVAL);
            }
            if let Ok(done) = monoio::time::timeout(slice, work.as_mut()).await {
                return Ok(done);
            }
            if self.holds {
                misses = if self.engine_answers().await { 0 } else { misses + 1 };
                if misses >= PROBE_MISSES {
                    return Err("the engine does not answer any more".to_owned());
                }
            }
            if self.unused_until.is_some_and(|until| self.context.now() >= until) {
                return Err("memory was set aside and the answer did not begin".to_owned());
            }
            if limited && self.context.now().since(started) >= limit {
                if take_retry() {
                    return Err(format!("silent for {limit:?}"));
                }
                limited = false;
            }
        }
    }

    async fn engine_answers(&self) -> bool {
        let mut connection = document_call::DocumentConnection::new(self.address.into());
        let path = self.context.border.report_path();
        connection.get(&path, PROBE_TIME).await.is_ok()
    }
}
