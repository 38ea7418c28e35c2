//! Checks that upstreams listed as leaving get no more requests, and that requests whose callers
//! have left are neither started nor continued.

use std::{collections, time};

use crate::evidence::{self, Evidence, UpstreamRun};

/// Time after an upstream is listed as leaving within which it may still get requests: the
/// platform's bound of 2 s plus scheduling delays of the test host.
pub const LEAVE_BOUND: time::Duration = time::Duration::from_millis(2_200);
/// Time after a caller has left within which upstreams may still work on its request: the
/// platform's bound of 500 ms plus scheduling delays of the test host.
const ABANDONED_WORK_BOUND: time::Duration = time::Duration::from_millis(700);

/// A period in which an upstream is listed as leaving.
struct LeaveSpan {
    upstream: u8,
    from: time::Instant,
    /// End of the period; `None` if the upstream did not return.
    to: Option<time::Instant>,
}

/// The instance that a request was sent to, and the times of its caller.
struct RequestOrigin {
    instance: u8,
    /// Time at which the caller sent the request.
    from: time::Instant,
    /// Time at which the caller left, if it left without an answer.
    left: Option<time::Instant>,
}

/// Returns the runs that began at a leaving upstream or went on after their caller had left,
/// summarized by kind.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = origins(evidence);
    let spans = leave_spans(evidence);
    let found = evidence.upstream_runs.iter().flat_map(|run| {
        let origin = origins.get(run.id.as_str());
        origin.into_iter().flat_map(|origin| run_violations(evidence, &spans, origin, run))
    });
    evidence::summarize_by_kind(found)
}

/// Returns the violations that a run shows and that no disturbance excuses.
fn run_violations(
    evidence: &Evidence,
    spans: &[LeaveSpan],
    origin: &RequestOrigin,
    run: &UpstreamRun,
) -> Vec<(String, String)> {
    let is_unexcused = |until| !is_excused(evidence, origin, run, until);
    let used = spans.iter().find_map(|span| used_while_leaving(evidence, span, origin, run));
    let used = used.filter(|_| is_unexcused(run.at));
    let worked =
        worked_after_caller_left(evidence, origin, run).filter(|_| is_unexcused(run.ended));
    used.into_iter().chain(worked).collect()
}

/// Returns whether a loss of contact of the instance overlaps the time from sending the request to
/// `until`, or a fault of the link to the upstream the time from the start of the run to `until`.
fn is_excused(
    evidence: &Evidence,
    origin: &RequestOrigin,
    run: &UpstreamRun,
    until: time::Instant,
) -> bool {
    let link_failed = evidence
        .link_faults
        .iter()
        .any(|fault| fault.concerns(origin.instance, run.upstream) && fault.delays(run.at, until));
    link_failed || !evidence.in_contact(origin.instance, origin.from, until)
}

/// Returns the violation if a run began later than [`LEAVE_BOUND`] into a period in which its
/// upstream was leaving.
fn used_while_leaving(
    evidence: &Evidence,
    span: &LeaveSpan,
    origin: &RequestOrigin,
    run: &UpstreamRun,
) -> Option<(String, String)> {
    let is_violation = span.upstream == run.upstream
        && run.at > span.from + LEAVE_BOUND
        && span.to.is_none_or(|to| run.at < to);
    is_violation.then(|| {
        let kind = format!(
            "upstream {} used while leaving, by instance {}",
            span.upstream, origin.instance
        );
        let (since, at) =
            (evidence.seconds_since_start(span.from), evidence.seconds_since_start(run.at));
        (kind, format!("{} at {at:.2} s, leaving since {since:.2} s", run.id))
    })
}

/// Returns the violation if an upstream worked on a request later than [`ABANDONED_WORK_BOUND`]
/// after the caller had left.
fn worked_after_caller_left(
    evidence: &Evidence,
    origin: &RequestOrigin,
    run: &UpstreamRun,
) -> Option<(String, String)> {
    let left = origin.left.filter(|left| run.ended > *left + ABANDONED_WORK_BOUND)?;
    let kind = format!("at work though its caller had left, by instance {}", origin.instance);
    let [left, at, ended] = [left, run.at, run.ended].map(|at| evidence.seconds_since_start(at));
    let (id, upstream) = (&run.id, run.upstream);
    Some((
        kind,
        format!("{id} at upstream {upstream} {at:.2} to {ended:.2} s, left at {left:.2} s"),
    ))
}

/// Returns the origins of all requests and probes by id.
fn origins(evidence: &Evidence) -> collections::HashMap<&str, RequestOrigin> {
    let sent = evidence.sent.iter().map(|sent| {
        let left = sent.outcome.is_none().then_some(sent.to);
        (sent.id.as_str(), RequestOrigin { instance: sent.instance, from: sent.from, left })
    });
    let probes = evidence.probes.iter().map(|probe| {
        let origin = RequestOrigin { instance: probe.instance, from: probe.from, left: None };
        (probe.id.as_str(), origin)
    });
    sent.chain(probes).collect()
}

/// Joins the changes of upstreams between ready and leaving into periods of leaving; a repeated
/// listing does not restart a period.
fn leave_spans(evidence: &Evidence) -> Vec<LeaveSpan> {
    let mut spans = Vec::<LeaveSpan>::new();
    for listing in &evidence.listings {
        let mut open_spans = spans.iter_mut();
        let open_span =
            open_spans.find(|span| span.upstream == listing.upstream && span.to.is_none());
        match open_span {
            Some(span) if !listing.leaving => span.to = Some(listing.at),
            None if listing.leaving => {
                spans.push(LeaveSpan { upstream: listing.upstream, from: listing.at, to: None });
            }
            _ => {}
        }
    }
    spans
}
