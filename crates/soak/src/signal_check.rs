//! Whether requests still reached upstreams that had told their instance that they leave, or had asked it for
//! rest.

use std::{collections, time};

use crate::{
    evidence::{self, Evidence, UpstreamResponse},
    leave_check,
};

/// Time after a refusal that asks for rest in which what was on its way may still arrive: the platform's.
const IN_FLIGHT_TIME: time::Duration = time::Duration::from_millis(500);

/// Who has sent a request, and when.
pub(crate) type RequestOrigins<'a> = collections::HashMap<&'a str, (u8, time::Instant)>;

/// Who has sent which request.
pub(crate) fn origins(evidence: &Evidence) -> RequestOrigins<'_> {
    let sent = evidence.sent.iter().map(|sent| (sent.id.as_str(), (sent.instance, sent.from)));
    let probes = evidence.probes.iter();
    let probes = probes.map(|probe| (probe.id.as_str(), (probe.instance, probe.from)));
    sent.chain(probes).collect()
}

/// All violations.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = origins(evidence);
    let found = evidence
        .responses
        .iter()
        .flat_map(|arrival| arrival_violation(evidence, &origins, arrival));
    evidence::summarize_by_kind(found)
}

/// What an arrival breaks, by the words that its instance had heard from the same start of the upstream.
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
    // What an instance was told before it started, woke or was cut off need not have reached it.
    let bound = |told: time::Instant| {
        let renewed = evidence.upstream_restarts.iter().any(|(upstream, at)| {
            *upstream == arrival.upstream && *at >= told && *at <= arrival.at
        });
        let harmed = evidence.link_faults.iter().any(|fault| {
            fault.upstream == arrival.upstream && fault.from <= arrival.at && fault.to >= told
        });
        !renewed && !harmed && evidence.in_contact(instance, told.min(from), arrival.at)
    };
    let broken = heard.filter_map(|response| {
        let left = response.leaving.filter(|told| arrival.at > *told + leave_check::LEAVE_BOUND);
        let rested = response.rest.filter(|(told, rest)| {
            arrival.at > *told + IN_FLIGHT_TIME && arrival.at < *told + *rest
        });
        let left = left.map(|told| (told, "that had told it that it leaves"));
        left.or(rested.map(|(told, _)| (told, "that had asked it for rest")))
    });
    let (told, what) = broken.into_iter().find(|(told, _)| bound(*told))?;
    let kind = format!("upstream {} used {what}, by instance {instance}", arrival.upstream);
    let [told, at] = [told, arrival.at].map(|at| evidence.seconds_since_start(at));
    Some((kind, format!("{} at {at:.2} s, told at {told:.2} s", arrival.id)))
}
