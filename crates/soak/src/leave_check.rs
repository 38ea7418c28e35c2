//! Whether upstreams that had said that they leave still got requests, and whether requests whose
//! callers had left were still passed on or worked on.

use std::{collections, time};

use crate::evidence::{self, Evidence, RequestArrival};

/// Time after an upstream's leaving within which it still may get requests: the platform's 2 s and
/// the machine's own delays.
pub const LEAVE_BOUND: time::Duration = time::Duration::from_millis(2_200);
/// Time after a caller's leaving within which upstreams may still be at work for it: the
/// platform's 500 ms and the machine's own delays.
const ABANDONED_WORK_BOUND: time::Duration = time::Duration::from_millis(700);

/// A time in which an upstream says that it leaves.
struct LeaveSpan {
    upstream: u8,
    from: time::Instant,
    /// `None` where it did not come back.
    to: Option<time::Instant>,
}

/// Who has sent a request.
struct RequestOrigin {
    instance: u8,
    from: time::Instant,
    /// When its caller left without an answer.
    left: Option<time::Instant>,
}

/// All violations.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = origins(evidence);
    let spans = leave_spans(evidence);
    let found = evidence.arrivals.iter().flat_map(|arrival| {
        let origin = origins.get(arrival.id.as_str());
        origin.into_iter().flat_map(|origin| arrival_violations(evidence, &spans, origin, arrival))
    });
    evidence::summarize_by_kind(found)
}

fn arrival_violations(
    evidence: &Evidence,
    spans: &[LeaveSpan],
    origin: &RequestOrigin,
    arrival: &RequestArrival,
) -> Vec<(String, String)> {
    let bound = |until| !excused(evidence, origin, arrival, until);
    let used = spans.iter().find_map(|span| used_while_leaving(evidence, span, origin, arrival));
    let used = used.filter(|_| bound(arrival.at));
    let worked =
        worked_after_caller_left(evidence, origin, arrival).filter(|_| bound(arrival.ended));
    used.into_iter().chain(worked).collect()
}

/// Whether until some time the instance was out of contact, or the way to the upstream was harmed.
fn excused(
    evidence: &Evidence,
    origin: &RequestOrigin,
    arrival: &RequestArrival,
    until: time::Instant,
) -> bool {
    let harmed = evidence.link_faults.iter().any(|fault| {
        let overlaps = fault.from <= until && fault.to >= arrival.at;
        fault.upstream == arrival.upstream && overlaps
    });
    harmed || !evidence.in_contact(origin.instance, origin.from, until)
}

fn used_while_leaving(
    evidence: &Evidence,
    span: &LeaveSpan,
    origin: &RequestOrigin,
    arrival: &RequestArrival,
) -> Option<(String, String)> {
    let bound = span.upstream == arrival.upstream
        && arrival.at > span.from + LEAVE_BOUND
        && span.to.is_none_or(|to| arrival.at < to);
    bound.then(|| {
        let kind = format!(
            "upstream {} used while leaving, by instance {}",
            span.upstream, origin.instance
        );
        let (left, at) =
            (evidence.seconds_since_start(span.from), evidence.seconds_since_start(arrival.at));
        (kind, format!("{} at {at:.2} s, leaving since {left:.2} s", arrival.id))
    })
}

fn worked_after_caller_left(
    evidence: &Evidence,
    origin: &RequestOrigin,
    arrival: &RequestArrival,
) -> Option<(String, String)> {
    let left = origin.left.filter(|left| arrival.ended > *left + ABANDONED_WORK_BOUND)?;
    let kind = format!("at work though its caller had left, by instance {}", origin.instance);
    let [left, at, ended] =
        [left, arrival.at, arrival.ended].map(|at| evidence.seconds_since_start(at));
    let (id, upstream) = (&arrival.id, arrival.upstream);
    Some((
        kind,
        format!("{id} at upstream {upstream} {at:.2} to {ended:.2} s, left at {left:.2} s"),
    ))
}

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

fn leave_spans(evidence: &Evidence) -> Vec<LeaveSpan> {
    let mut spans = Vec::<LeaveSpan>::new();
    for listing in &evidence.listings {
        let mut open = spans.iter_mut();
        let open = open.find(|span| span.upstream == listing.upstream && span.to.is_none());
        match open {
            Some(span) if !listing.leaving => span.to = Some(listing.at),
            None if listing.leaving => {
                spans.push(LeaveSpan { upstream: listing.upstream, from: listing.at, to: None });
            }
            _ => {}
        }
    }
    spans
}
