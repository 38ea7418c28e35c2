//! Runs that broke, and whether their upstream ended under them.
//!
//! A connection that breaks may have been reset while the upstream lives on. What shows an end is
//! that no process listens at its address any more, or that the list names another start, or none, of
//! an upstream that was not leaving.

use std::{collections, net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{ids, request_digest, send_gate, units};

use crate::{context, incoming_call, quarantine_gossip, upstream_attempt, upstream_gate};

/// Time after a break after which a connection is tried: a process that has ended refuses at once, but
/// its connections may be reset a moment before its listener is. One connection only: each costs the upstream one.
const BREAK_CHECK: time::Duration = time::Duration::from_millis(15);
/// The same after a run that its caller has left: its engine begins it a moment later, or drops it.
const LEFT_CHECK: time::Duration = time::Duration::from_millis(250);
/// How long a broken run waits for proof. The list drops an upstream that crashed after three missed
/// heartbeats of 1.2 s, and may be some seconds late itself.
const PROOF_TIME: time::Duration = time::Duration::from_secs(10);
/// Time between two looks at the list while runs wait for proof.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Broken runs that wait for proof at most; each takes some 100 bytes.
const MAX_WAITING: usize = 256;
/// Requests that a log line names at most.
const MAX_LOGGED: usize = 16;

/// Messages about runs.
#[derive(Debug)]
pub enum RunNews {
    /// A run broke, or was left by its caller: its upstream may have ended under it.
    Broke(BrokenRun),
    /// Nobody listens at an upstream's address.
    Refused(ids::UpstreamId),
    /// Its address has been tried.
    Checked(ids::UpstreamId, CheckResult),
}

/// What a connection to an upstream that broke a run showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// Nobody listens there.
    Refuses,
    /// Somebody does: the run's connection has broken, not its upstream.
    Lives,
    /// Nothing: the way there may be cut, or the machine be dark.
    Silent,
}

/// A run without an end that the upstream gave it.
#[derive(Debug, Clone)]
pub struct BrokenRun {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// Where it took the request.
    pub address: net::SocketAddrV4,
    /// The request.
    pub digest: request_digest::RequestDigest,
    /// When it was sent.
    pub sent: units::MonoTime,
    /// When it broke.
    pub broke: units::MonoTime,
    /// Whether nothing broke: its caller has left, or it was given up.
    pub left: bool,
}

/// What showed that an upstream had ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndProof {
    Refused,
    List,
}

impl EndProof {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::List => "list",
        }
    }
}

/// Watches one run from its sending on; one that is dropped before its upstream has ended it is broken.
pub(crate) struct RunGuard<'a> {
    context: &'a context::InstanceContext,
    call: &'a incoming_call::IncomingCall,
    upstream: ids::UpstreamId,
    address: net::SocketAddrV4,
    sent: units::MonoTime,
    ended: bool,
    broke: bool,
}

impl<'a> RunGuard<'a> {
    /// Begins just before the first byte is sent.
    pub(crate) fn begin(
        context: &'a context::InstanceContext,
        call: &'a incoming_call::IncomingCall,
        upstream: &ids::UpstreamId,
        address: net::SocketAddrV4,
    ) -> Self {
        let sent = context.now();
        Self {
            context,
            call,
            upstream: upstream.clone(),
            address,
            sent,
            ended: false,
            broke: false,
        }
    }

    /// It failed: unless the upstream surely did not run it, its connection has broken.
    pub(crate) fn failed(mut self, fault: &upstream_attempt::AttemptFault) {
        self.ended = fault.failure.definitely_not_run();
        self.broke = !self.ended;
    }

    /// Its connection has broken.
    pub(crate) fn broke(mut self) {
        self.broke = true;
    }

    /// The upstream has answered to the end, whatever it answered: it outlives such a run.
    pub(crate) fn answered(mut self) {
        self.ended = true;
        quarantine_gossip::answered(self.context, || self.call.digest());
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if self.ended || !is_live(self.context, &self.upstream) {
            return;
        }
        let run = BrokenRun {
            upstream: self.upstream.clone(),
            address: self.address,
            digest: self.call.digest(),
            sent: self.sent,
            broke: self.context.now(),
            left: !self.broke,
        };
        self.context.report_run(RunNews::Broke(run));
    }
}

/// Whether the list names this start and it is not known to leave: one that leaves ends by plan, whatever
/// it runs.
fn is_live(context: &context::InstanceContext, name: &ids::UpstreamId) -> bool {
    let fleet = context.fleet.borrow();
    let leaving = fleet.list.notices().leaving(name).is_some();
    !leaving && fleet.list.entry(name).is_some_and(|entry| entry.name == *name)
}

/// Broken runs that wait for proof.
#[derive(Default)]
struct WaitingRuns {
    runs: collections::VecDeque<BrokenRun>,
    /// Upstreams at whose address somebody takes connections. It may be a proxy: their runs wait on for
    /// another start in the list; that it names none any more would show no end.
    alive: collections::BTreeSet<ids::UpstreamId>,
    /// Upstreams that are tried after a broken connection.
    checked: collections::BTreeSet<ids::UpstreamId>,
}

impl WaitingRuns {
    /// Remembers a run; returns whether its upstream is to be checked.
    fn push(&mut self, run: BrokenRun) -> bool {
        let unchecked = run.left || self.checked.insert(run.upstream.clone());
        if self.runs.len() >= MAX_WAITING {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        unchecked
    }

    /// The runs at an upstream, which need no more proof.
    fn take(&mut self, upstream: &ids::UpstreamId) -> Vec<BrokenRun> {
        let (taken, left) =
            self.runs.drain(..).partition(|run: &BrokenRun| run.upstream == *upstream);
        self.runs = left;
        taken.into()
    }

    fn forget_old(&mut self, now: units::MonoTime) {
        self.runs.retain(|run| now.since(run.broke) < PROOF_TIME);
        let runs = &self.runs;
        self.alive.retain(|upstream| runs.iter().any(|run| run.upstream == *upstream));
    }

    /// Upstreams of which the list shows that they have ended.
    fn ended(&self, context: &context::InstanceContext) -> collections::BTreeSet<ids::UpstreamId> {
        let fleet = context.fleet.borrow();
        let ended = |upstream: &&ids::UpstreamId| match fleet.list.entry(upstream) {
            Some(entry) => entry.name != **upstream,
            None => !self.alive.contains(*upstream),
        };
        self.runs.iter().map(|run| &run.upstream).filter(ended).cloned().collect()
    }
}

/// Finds out under which runs upstreams have ended.
pub async fn judge_runs(
    context: rc::Rc<context::InstanceContext>,
    mut news: mpsc::UnboundedReceiver<RunNews>,
) {
    let mut waiting = WaitingRuns::default();
    loop {
        let pause = if waiting.runs.is_empty() { PROOF_TIME } else { LIST_INTERVAL };
        match monoio::time::timeout(pause, news.next()).await {
            Ok(Some(RunNews::Broke(run))) => {
                let (upstream, address) = (run.upstream.clone(), run.address);
                let delay = if run.left { LEFT_CHECK } else { BREAK_CHECK };
                if waiting.push(run) {
                    monoio::spawn(check(rc::Rc::clone(&context), upstream, address, delay));
                }
            }
            Ok(Some(RunNews::Refused(upstream))) => {
                end(&context, &upstream, waiting.take(&upstream), EndProof::Refused);
            }
            Ok(Some(RunNews::Checked(upstream, seen))) => {
                waiting.checked.remove(&upstream);
                match seen {
                    CheckResult::Refuses => {
                        end(&context, &upstream, waiting.take(&upstream), EndProof::Refused);
                    }
                    CheckResult::Lives => _ = waiting.alive.insert(upstream),
                    CheckResult::Silent => {}
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        let now = context.now();
        waiting.forget_old(now);
        for upstream in waiting.ended(&context) {
            end(&context, &upstream, waiting.take(&upstream), EndProof::List);
        }
    }
}

/// Tries whether anybody listens at an upstream's address.
async fn check(
    context: rc::Rc<context::InstanceContext>,
    upstream: ids::UpstreamId,
    address: net::SocketAddrV4,
    delay: time::Duration,
) {
    monoio::time::sleep(delay).await;
    if upstream_gate::look(&context, &upstream, send_gate::SendKind::Check, &[]).is_err() {
        context.report_run(RunNews::Checked(upstream, CheckResult::Silent));
        return;
    }
    let seen = match context.pool.open(address).await {
        Ok(_) => CheckResult::Lives,
        Err(error) if error.nobody_listens() => CheckResult::Refuses,
        Err(_) => CheckResult::Silent,
    };
    context.report_run(RunNews::Checked(upstream, seen));
}

/// Draws the conclusions of an upstream's end.
fn end(
    context: &context::InstanceContext,
    upstream: &ids::UpstreamId,
    runs: Vec<BrokenRun>,
    proof: EndProof,
) {
    if runs.is_empty() {
        return;
    }
    let mut requests: Vec<_> = runs.iter().map(|run| run.digest.to_string()).collect();
    requests.sort();
    requests.dedup();
    let count = requests.len();
    requests.truncate(MAX_LOGGED);
    log::warn!(
        upstream:%, proof = proof.label(), runs = runs.len(), requests = count,
        digests = requests.join(" "); "upstream.ended"
    );
    context.stats.borrow_mut().count("upstream_ended", proof.label());
    quarantine_gossip::report(context, &runs);
}
