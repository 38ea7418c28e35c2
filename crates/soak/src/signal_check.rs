//! Checks that instances send no requests to upstreams that have signalled to them in an answer
//! that they leave or need rest.

use std::{collections, time};

use crate::{
    evidence::{self, Evidence, UpstreamResponse},
    leave_check,
};

/// Time after a refusal that asks for rest within which requests already in flight may arrive: the
/// platform's bound.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_millis(500);

/// The instance that each request was sent to and the time of sending, by request id.
pub(crate) type RequestOrigins<'a> = collections::HashMap<&'a str, (u8, time::Instant)>;

/// Returns the origins of all requests and probes.
pub(crate) fn origins(evidence: &Evidence) -> RequestOrigins<'_> {
    let sent = evidence.sent.iter().map(|sent| (sent.id.as_str(), (sent.instance, sent.from)));
    let probes = evidence.probes.iter();
    let probes = probes.map(|probe| (probe.id.as_str(), (probe.instance, probe.from)));
    sent.chain(probes).collect()
}

/// Returns the violations, summarized by kind.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = origins(evidence);
    let found = evidence
        .responses
        .iter()
        .flat_map(|arrival| arrival_violation(evidence, &origins, arrival));
    evidence::summarize_by_kind(found)
}

/// Returns the violation where a request arrived although its instance had received a signal
/// against it from the same process life of the upstream.
fn arrival_violation(
    evidence: &Evidence,
    origins: &RequestOrigins<'_>,
    arrival: &UpstreamResponse,
) -> Option<(String, String)> {
    let (instance, from) = *origins.get(arrival.id.as_str())?;
    let heard = evidence.responses.iter().filter(|response| {
        let same = origins.get(response.id.as_str()).is_some_and(|origin| origin.0 == instance);
        same && response.upstream == arrival.upstream
    });
    // A signal sent before the instance started, resumed or lost contact may not have reached it.
    let binding = |signalled: time::Instant| {
        let restarted = evidence.upstream_restarts.iter().any(|(upstream, at)| {
            *upstream == arrival.upstream && *at >= signalled && *at <= arrival.at
        });
        let link_failed = evidence.link_faults.iter().any(|fault| {
            fault.upstream == arrival.upstream && fault.from <= arrival.at && fault.to >= signalled
        });
        !restarted && !link_failed && evidence.in_contact(instance, signalled.min(from), arrival.at)
    };
    let ignored = heard.filter_map(|response| {
        let left =
            response.leaving.filter(|signalled| arrival.at > *signalled + leave_check::LEAVE_BOUND);
        let rested = response.rest.filter(|(signalled, rest)| {
            arrival.at > *signalled + IN_FLIGHT_TIME && arrival.at < *signalled + *rest
        });
        let left = left.map(|signalled| (signalled, "that had told it that it leaves"));
        left.or(rested.map(|(signalled, _)| (signalled, "that had asked it for rest")))
    });
    let (signalled, what) = ignored.into_iter().find(|(signalled, _)| binding(*signalled))?;
    let kind = format!("upstream {} used {what}, by instance {instance}", arrival.upstream);
    let [signalled, at] = [signalled, arrival.at].map(|at| evidence.seconds_since_start(at));
    Some((kind, format!("{} at {at:.2} s, told at {signalled:.2} s", arrival.id)))
}
