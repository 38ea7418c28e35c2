//! Detection of upstreams that ended while they ran a request.
//!
//! A broken connection alone is no proof, as it may have been reset while the upstream keeps running. An upstream has
//! ended if no process listens at its address any more, or if the list names another start of it (life of its
//! process), or none, although it was not leaving.

use std::{collections, net, rc, time};

use futures::{StreamExt as _, channel::mpsc};
use slipturn_core::{ids, prompt_part, request_digest, send_gate, units};
use slipturn_net::process;

use crate::{
    context, incoming_call, part_gossip, quarantine_gossip, upstream_attempt, upstream_connect,
    upstream_gate,
};

/// Delay between a broken run and a test connection to its upstream. A process that has ended refuses at once, but its
/// connections may be reset shortly before its listener is closed. Only one test connection at a time is opened for the
/// broken runs of an upstream, as it takes up one of the upstream's connections.
pub(crate) const BREAK_CHECK_DELAY: time::Duration = time::Duration::from_millis(15);
/// Delay between a run abandoned by its caller and a test connection to its upstream: the engine may begin such a run
/// some time later, or drop it.
const ABANDONED_CHECK_DELAY: time::Duration = time::Duration::from_millis(250);
/// Time after which a broken run without proof is forgotten. The list drops a crashed upstream after three missed
/// heartbeats of 1.2 s, and may itself be late by some seconds.
const PROOF_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval between two checks of the list while broken runs wait for proof.
const LIST_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Most broken runs that wait for proof; each takes some 100 bytes.
const MAX_UNPROVEN: usize = 256;
/// Most requests that a log line names.
const MAX_LOGGED_REQUESTS: usize = 16;
/// Most parts of prompts that a log line names.
const MAX_LOGGED_PARTS: usize = 16;

/// Events that show or suggest the end of an upstream.
#[derive(Debug)]
pub enum RunEvent {
    /// A run (execution of a request at an upstream) broke or was abandoned: the upstream may have ended.
    Broke(BrokenRun),
    /// No process listens at an upstream's address.
    Refused(ids::UpstreamId),
    /// Result of a test connection to an upstream.
    Checked(ids::UpstreamId, ProbeResult),
}

/// Result of a test connection to the upstream of a broken run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// No process listens at the address: the upstream has ended.
    ConnectionRefused,
    /// The connection was accepted: only the run's connection broke.
    Accepts,
    /// Nothing is known: the network or the upstream's machine may have failed.
    Silent,
}

/// A run (execution of a request at an upstream) that the upstream did not complete.
#[derive(Debug, Clone)]
pub struct BrokenRun {
    /// Start (one life of the process) of the upstream that ran the request.
    pub upstream: ids::UpstreamId,
    /// Address that the request was sent to.
    pub address: net::SocketAddrV4,
    /// Service of the upstream.
    pub service: ids::ServiceId,
    /// Digest of the request.
    pub digest: request_digest::RequestDigest,
    /// Parts that the prompt shares with others.
    pub parts: prompt_part::SharedParts,
    /// Customer of the request, if known.
    pub customer: Option<ids::CustomerId>,
    /// When the request was sent.
    pub sent: units::MonoTime,
    /// When the run broke or was abandoned.
    pub broke_at: units::MonoTime,
    /// Whether the run was abandoned by its caller or by this process, rather than broken.
    pub abandoned: bool,
}

/// Proof that an upstream has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndProof {
    /// No process listens at the upstream's address.
    Refused,
    /// The list names another start (life of the process) of the upstream, or none.
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

/// Guard of one run, from the sending of its request; reports the run as broken if it is dropped before the upstream has
/// completed it.
pub(crate) struct RunGuard<'a> {
    context: &'a context::InstanceContext,
    call: &'a incoming_call::IncomingCall,
    upstream: ids::UpstreamId,
    address: net::SocketAddrV4,
    /// When the request was sent.
    sent: units::MonoTime,
    /// Whether the run ended without a sign of a crash.
    ended: bool,
    /// Whether the run broke, rather than being abandoned.
    broken: bool,
}

impl<'a> RunGuard<'a> {
    /// Creates a guard; to be called just before the first byte is sent.
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
            broken: false,
        }
    }

    /// Records that the run failed; it counts as broken unless the upstream certainly did not run the request.
    pub(crate) fn failed(mut self, fault: &upstream_attempt::AttemptFault) {
        self.ended = fault.failure.definitely_not_run();
        self.broken = !self.ended;
    }

    /// Records that the connection of the run broke.
    pub(crate) fn connection_broke(mut self) {
        self.broken = true;
    }

    /// Records that the engine has answered a prompt completely and with success: neither the request nor the parts of
    /// its prompt crash it.
    pub(crate) fn prompt_answered(self) {
        part_gossip::answered(self.context, self.call);
        self.answered();
    }

    /// Records that the upstream has answered completely, whatever the answer: the request does not crash it.
    pub(crate) fn answered(mut self) {
        self.ended = true;
        quarantine_gossip::answered(self.context, self.call);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.call.broken_runs.set(self.call.broken_runs.get() + 1);
        if !is_expected_to_run(self.context, &self.upstream) {
            return;
        }
        let run = BrokenRun {
            upstream: self.upstream.clone(),
            address: self.address,
            service: self.call.service.clone(),
            digest: self.call.digest(),
            parts: self.call.request.parts.clone(),
            customer: self.call.customer.clone(),
            sent: self.sent,
            broke_at: self.context.now(),
            abandoned: !self.broken,
        };
        self.context.report_run(RunEvent::Broke(run));
    }
}

/// Whether the list names this start of an upstream, and the start is not leaving: a leaving one ends as planned,
/// whatever it runs.
fn is_expected_to_run(context: &context::InstanceContext, name: &ids::UpstreamId) -> bool {
    let fleet = context.fleet.borrow();
    let leaving = fleet.list.notices().leaving(name).is_some();
    !leaving && fleet.list.entry(name).is_some_and(|entry| entry.name == *name)
}

/// Broken runs that wait for proof.
#[derive(Default)]
struct UnprovenRuns {
    runs: collections::VecDeque<BrokenRun>,
    /// Upstreams at whose address connections are accepted, perhaps by a proxy. For their runs only another start in the
    /// list is proof; the absence of any start is not.
    accepting: collections::BTreeSet<ids::UpstreamId>,
    /// Upstreams with a test connection in progress after a broken run.
    being_checked: collections::BTreeSet<ids::UpstreamId>,
}

impl UnprovenRuns {
    /// Adds a run; returns whether its upstream needs a test connection.
    fn push(&mut self, run: BrokenRun) -> bool {
        let needs_check = run.abandoned || self.being_checked.insert(run.upstream.clone());
        if self.runs.len() >= MAX_UNPROVEN {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        needs_check
    }

    /// Removes and returns the runs of an upstream that has been proven to have ended.
    fn take(&mut self, upstream: &ids::UpstreamId) -> Vec<BrokenRun> {
        let (taken, rest) =
            self.runs.drain(..).partition(|run: &BrokenRun| run.upstream == *upstream);
        self.runs = rest;
        taken.into()
    }

    /// Forgets runs that have waited for [`PROOF_TIMEOUT`].
    fn forget_expired(&mut self, now: units::MonoTime) {
        self.runs.retain(|run| now.since(run.broke_at) < PROOF_TIMEOUT);
        let runs = &self.runs;
        self.accepting.retain(|upstream| runs.iter().any(|run| run.upstream == *upstream));
    }

    /// Upstreams of waiting runs that have ended according to the list.
    fn ended(&self, context: &context::InstanceContext) -> collections::BTreeSet<ids::UpstreamId> {
        let fleet = context.fleet.borrow();
        let ended = |upstream: &&ids::UpstreamId| match fleet.list.entry(upstream) {
            Some(entry) => entry.name != **upstream,
            None => !self.accepting.contains(*upstream),
        };
        self.runs.iter().map(|run| &run.upstream).filter(ended).cloned().collect()
    }
}

/// Collects broken runs, and reports those whose upstream is proven to have ended.
pub async fn find_ended_upstreams(
    context: rc::Rc<context::InstanceContext>,
    events: &mut mpsc::UnboundedReceiver<RunEvent>,
) {
    let mut unproven = UnprovenRuns::default();
    loop {
        let pause = if unproven.runs.is_empty() { PROOF_TIMEOUT } else { LIST_CHECK_INTERVAL };
        match monoio::time::timeout(pause, events.next()).await {
            Ok(Some(RunEvent::Broke(run))) => {
                let (upstream, address) = (run.upstream.clone(), run.address);
                let delay = if run.abandoned { ABANDONED_CHECK_DELAY } else { BREAK_CHECK_DELAY };
                if unproven.push(run) {
                    process::spawn_isolated(check(
                        rc::Rc::clone(&context),
                        upstream,
                        address,
                        delay,
                    ));
                }
            }
            Ok(Some(RunEvent::Refused(upstream))) => {
                report_ended(&context, &upstream, unproven.take(&upstream), EndProof::Refused);
            }
            Ok(Some(RunEvent::Checked(upstream, result))) => {
                unproven.being_checked.remove(&upstream);
                match result {
                    ProbeResult::ConnectionRefused => {
                        report_ended(
                            &context,
                            &upstream,
                            unproven.take(&upstream),
                            EndProof::Refused,
                        );
                    }
                    ProbeResult::Accepts => _ = unproven.accepting.insert(upstream),
                    ProbeResult::Silent => {}
                }
            }
            Ok(None) => return,
            Err(_) => {}
        }
        let now = context.now();
        unproven.forget_expired(now);
        for upstream in unproven.ended(&context) {
            report_ended(&context, &upstream, unproven.take(&upstream), EndProof::List);
        }
    }
}

/// Opens a test connection to an upstream after `delay`, and reports its result.
async fn check(
    context: rc::Rc<context::InstanceContext>,
    upstream: ids::UpstreamId,
    address: net::SocketAddrV4,
    delay: time::Duration,
) {
    monoio::time::sleep(delay).await;
    let service = context.fleet.borrow().list.entry(&upstream).map(|entry| entry.service.clone());
    let allowed = upstream_gate::check_send(&context, &upstream, send_gate::SendKind::Check, &[]);
    let Some(service) = service.filter(|_| allowed.is_ok()) else {
        context.report_run(RunEvent::Checked(upstream, ProbeResult::Silent));
        return;
    };
    let target = upstream_connect::ConnectTarget { service: &service, address };
    let result = match upstream_connect::open(&context, target).await {
        Ok(_) => ProbeResult::Accepts,
        Err(error) if error.is_connection_refused() => ProbeResult::ConnectionRefused,
        Err(_) => ProbeResult::Silent,
    };
    context.report_run(RunEvent::Checked(upstream, result));
}

/// Logs the end of an upstream, and reports its runs as evidence against their requests.
fn report_ended(
    context: &rc::Rc<context::InstanceContext>,
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
    requests.truncate(MAX_LOGGED_REQUESTS);
    log::warn!(
        upstream:%, proof = proof.label(), runs = runs.len(), requests = count,
        digests = requests.join(" "), parts = describe_parts(&runs); "upstream.ended"
    );
    context.stats.borrow_mut().count("upstream_ended", proof.label());
    quarantine_gossip::report(context, &runs);
    part_gossip::report(context, &runs);
}

/// Describes the shared parts of the prompts that ran, each with its customer and the number of runs, rarest first.
fn describe_parts(runs: &[BrokenRun]) -> String {
    let mut counts = collections::BTreeMap::new();
    for run in runs {
        let customer = run.customer.as_ref().map_or("-", ids::CustomerId::as_str);
        run.parts.iter().for_each(|part| *counts.entry((part, customer)).or_insert(0) += 1);
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| *count);
    let shown = counts.into_iter().take(MAX_LOGGED_PARTS);
    let shown: Vec<_> =
        shown.map(|((part, customer), count)| format!("{part}/{customer}:{count}")).collect();
    shown.join(" ")
}
