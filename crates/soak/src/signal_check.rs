//! Checks that instances send no requests to an upstream after an answer in which it signalled that
//! it is leaving, or before the `Retry-After` time of an answer in which it rejected a request.

use std::{collections, time};

use crate::{
    evidence::{self, Evidence, UpstreamResponse},
    leave_check,
};

/// Time after a rejection with `Retry-After` within which requests already in flight may arrive:
/// the platform's bound.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_millis(500);

/// The instance that each request was sent to and the time of sending, by request id.
pub(crate) type RequestOrigins<'a> = collections::HashMap<&'a str, (u8, time::Instant)>;

/// Returns the instance and the time of sending of each request and probe, by request id.
pub(crate) fn origins(evidence: &Evidence) -> RequestOrigins<'_> {
    let sent = evidence.sent.iter().map(|sent| (sent.id.as_str(), (sent.instance, sent.from)));
    let probes = evidence.probes.iter();
    let probes = probes.map(|probe| (probe.id.as_str(), (probe.instance, probe.from)));
    sent.chain(probes).collect()
}

/// Returns the requests that reached an upstream after it had announced that it is leaving, or
/// before its `Retry-After` time was over, summarized by kind.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = origins(evidence);
    let found = evidence
        .responses
        .iter()
        .flat_map(|response| response_violation(evidence, &origins, response));
    evidence::summarize_by_kind(found)
}

/// Returns the violation if a request reached an upstream although an answer had told its instance
/// to send no more (it announced leaving, or a `Retry-After` time that is not over), and the
/// upstream has not restarted since.
fn response_violation(
    evidence: &Evidence,
    origins: &RequestOrigins<'_>,
    response: &UpstreamResponse,
) -> Option<(String, String)> {
    let (instance, from) = *origins.get(response.id.as_str())?;
    let received = evidence.responses.iter().filter(|other| {
        let same_instance =
            origins.get(other.id.as_str()).is_some_and(|origin| origin.0 == instance);
        same_instance && other.upstream == response.upstream
    });
    // What an upstream announced before the instance started, resumed or lost contact may not have
    // reached the instance.
    let applies = |signalled: time::Instant| {
        let restarted = evidence.upstream_restarts.iter().any(|(upstream, at)| {
            *upstream == response.upstream && *at >= signalled && *at <= response.at
        });
        let link_failed = evidence.link_faults.iter().any(|fault| {
            fault.concerns(instance, response.upstream)
                && fault.from <= response.at
                && fault.to >= signalled
        });
        !restarted
            && !link_failed
            && evidence.in_contact(instance, signalled.min(from), response.at)
    };
    let ignored = received.filter_map(|other| {
        let leaving = other
            .leaving_announced_at
            .filter(|signalled| response.at > *signalled + leave_check::LEAVE_BOUND);
        let rejecting = other.rejection.filter(|(signalled, retry_after)| {
            response.at > *signalled + IN_FLIGHT_TIME && response.at < *signalled + *retry_after
        });
        let leaving = leaving.map(|signalled| (signalled, "that had told it that it leaves"));
        leaving.or(rejecting.map(|(signalled, _)| (signalled, "that had asked it for rest")))
    });
    let (signalled, signal) = ignored.into_iter().find(|(signalled, _)| applies(*signalled))?;
    let kind = format!("upstream {} used {signal}, by instance {instance}", response.upstream);
    let [signalled, at] = [signalled, response.at].map(|at| evidence.seconds_since_start(at));
    Some((kind, format!("{} at {at:.2} s, told at {signalled:.2} s", response.id)))
}
