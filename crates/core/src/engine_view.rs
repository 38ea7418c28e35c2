//! Engines as one choice of the planner sees them.

use crate::{engine_work, ids, pass_model, planner_leases, planner_urgency, read_planner, units};

/// An engine as one choice sees it.
pub(crate) struct EngineView<'a> {
    pub(crate) name: &'a ids::UpstreamId,
    pub(crate) rank: u64,
    /// Time until its next pass begins, milliseconds.
    pub(crate) wait_ms: f64,
    /// Reading that waits for that pass, milliseconds.
    pub(crate) pending_ms: f64,
    /// Time until all that is to be read there has been read, milliseconds.
    pub(crate) unread_ms: f64,
    pub(crate) steps_ms: f64,
    /// Smallest pause goal of those that write there; infinite without any.
    pub(crate) pause_ms: f64,
    /// Worth of those that write there.
    pub(crate) worth: f64,
    pub(crate) tight: usize,
    /// Those of them whose prompt has not been read.
    pub(crate) unread: usize,
    pub(crate) answering: usize,
    pub(crate) free: u64,
    pub(crate) pace: f64,
}

impl EngineView<'_> {
    /// Expected time to the first token of a prompt of which a part is read here: it is out when
    /// the pass that reads it ends.
    pub(crate) fn first_ms(&self, part: f64) -> f64 {
        (self.wait_ms + self.pending_ms + part + self.steps_ms) * self.pace
    }
}

impl read_planner::ReadPlanner {
    /// The engines that a request may use.
    pub(crate) fn views(
        &self,
        now: units::MonoTime,
        job: &planner_urgency::WaitingJob,
    ) -> Vec<EngineView<'_>> {
        let usable = |shunned: bool| {
            let allowed = self.engines.iter().filter(move |(name, engine)| {
                (engine.shunned_until > now) == shunned && !job.ask.excluded.contains(name)
            });
            allowed.map(|(name, engine)| self.view(now, name, engine)).collect::<Vec<_>>()
        };
        let views = usable(false);
        // An engine that failed lately is better than none.
        if views.is_empty() { usable(true) } else { views }
    }

    fn view<'a>(
        &'a self,
        now: units::MonoTime,
        name: &'a ids::UpstreamId,
        engine: &engine_work::EngineWork,
    ) -> EngineView<'a> {
        let asks = engine.answering.iter().filter_map(|job| self.jobs.get(job));
        let (mut context, mut pause_ms, mut worth) = (0, f64::INFINITY, 0.0);
        let (mut tight, mut unread) = (0, 0);
        for state in asks {
            let ask = &state.lease.ask;
            context += planner_leases::context_of(&state.lease);
            pause_ms = pause_ms.min(f64::from(ask.pause_ms));
            worth += f64::from(ask.worth);
            tight += usize::from(ask.tight());
            unread += usize::from(ask.tight() && state.lease.reading);
        }
        let answering = engine.answering.len() + engine.foreign;
        EngineView {
            name,
            rank: engine.rank,
            wait_ms: engine.wait_ms(now),
            pending_ms: engine.pending_ms(),
            unread_ms: engine.unread_ms(),
            steps_ms: pass_model::steps_ms(&self.shape, answering, context),
            pause_ms,
            worth,
            tight: tight + engine.foreign,
            unread,
            answering,
            free: engine.memory.saturating_sub(engine.used),
            pace: engine.pace,
        }
    }
}
