//! Checks the promises of the platform against what clients and upstreams observed.

use std::{collections, time};

use slipturn_platform_standin::caller::Outcome;

use crate::{
    config_check, engine_plan,
    evidence::{self, Disturbance, Evidence},
    leave_check, limit_check, partition_check, signal_check,
    traffic::SentRequest,
};

/// Statuses by which an instance promises that the request has not run and never will.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Statuses that an instance must not answer with: every configuration allows all requests that
/// clients send.
const DENIAL_STATUSES: [u16; 5] = [400, 401, 403, 404, 413];
/// Time after the deadline of a request within which it must have ended.
const END_SLACK: time::Duration = time::Duration::from_millis(1_500);
/// Time limit that clients state in each request, counted from sending; equal to `DEADLINE` in
/// [`crate::traffic`].
const REQUEST_DEADLINE: time::Duration = time::Duration::from_secs(6);

/// Returns a description of each violation in a run, those found during the run first.
pub fn violations(evidence: &Evidence) -> Vec<String> {
    let mut found = evidence.violations.clone();
    let closed = evidence.sent.iter().filter(|request| closed_without_cause(evidence, request));
    found.extend(closed.map(|request| {
        format!("closed an idle connection without cause: instance {}", request.instance)
    }));
    for request in &evidence.sent {
        found.extend(request_violation(evidence, request).map(|text| {
            format!("{text}: {} ({}) at instance {}", request.id, request.route, request.instance)
        }));
    }
    let sent: collections::HashSet<_> = evidence.sent.iter().map(|sent| sent.id.as_str()).collect();
    let unsent = evidence.runs.keys().filter(|id| !sent.contains(id.as_str()));
    found.extend(unsent.map(|id| format!("an upstream ran a request that no client sent: {id:?}")));
    found.extend(config_check::violations(evidence));
    found.extend(leave_check::violations(evidence));
    found.extend(signal_check::violations(evidence));
    found.extend(limit_check::violations(evidence));
    found.extend(partition_check::violations(evidence));
    found
}

/// Returns how a request violated a promise. If its client left without the answer, only the number
/// of runs and their customer are checked.
fn request_violation(evidence: &Evidence, request: &SentRequest) -> Option<String> {
    let record = evidence.runs.get(&request.id);
    let runs = record.map_or(0, |record| record.runs);
    let at_most_once = matches!(request.route, "unsafe" | "once");
    if at_most_once && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    if record.is_some_and(|record| record.customer != engine_plan::customer_of(&request.id)) {
        return Some("ran for another customer".to_owned());
    }
    match request.outcome.as_ref()? {
        Outcome::Wrong(what) => Some(format!("a wrong answer, {what}")),
        Outcome::Status(status, _) if DENIAL_STATUSES.contains(status) => {
            Some(format!("denied with {status}"))
        }
        Outcome::Status(status, _)
            if NOT_EXECUTED_STATUSES.contains(status) && at_most_once && runs > 0 =>
        {
            Some(format!("ran although {status} says that it did not"))
        }
        Outcome::Cut(false) if runs == 0 && disturbed(&evidence.planned_stops, request) => None,
        Outcome::Cut(_) if !disturbed(&evidence.unplanned_outages, request) => {
            let external_fault = disturbed(&evidence.external_faults, request);
            // An upstream that fails may cut an answer that has begun, or the answer to a request
            // that must not be repeated.
            (!external_fault).then(|| "cut without cause".to_owned())
        }
        _ if !disturbed(&evidence.unplanned_outages, request) => {
            let spent = request.to.duration_since(request.from);
            (spent > REQUEST_DEADLINE + END_SLACK).then(|| format!("took {spent:?}"))
        }
        _ => None,
    }
}

/// Returns whether the instance closed the idle connection meant for a request before its idle
/// timeout, with neither an outage nor a planned stop as the cause.
fn closed_without_cause(evidence: &Evidence, request: &SentRequest) -> bool {
    let excused = |since| {
        [&evidence.unplanned_outages, &evidence.planned_stops].into_iter().any(|disturbances| {
            evidence::any_overlaps(disturbances, request.instance, since, request.from)
        })
    };
    request.closed_idle_since.is_some_and(|since| !excused(since))
}

/// Returns whether a disturbance of the instance that got a request overlaps the time from sending
/// the request to its end.
fn disturbed(disturbances: &[Disturbance], request: &SentRequest) -> bool {
    evidence::any_overlaps(disturbances, request.instance, request.from, request.to)
}
