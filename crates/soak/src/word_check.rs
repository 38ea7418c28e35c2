//! Whether requests still reached upstreams that had told their instance that they leave, or had asked it for
//! rest.

use std::{collections, time};

use crate::{
    evidence::{self, Evidence, UpstreamWord},
    leave_check,
};

/// Time after a refusal that asks for rest in which what was on its way may still arrive: the platform's.
const CROSSING: time::Duration = time::Duration::from_millis(500);

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
    let found = evidence.words.iter().flat_map(|arrival| judge(evidence, &origins, arrival));
    evidence::first_of_each(found)
}

/// What an arrival breaks, by the words that its instance had heard from the same start of the upstream.
fn judge(
    evidence: &Evidence,
    origins: &RequestOrigins<'_>,
    arrival: &UpstreamWord,
) -> Option<(String, String)> {
    let (instance, from) = *origins.get(arrival.id.as_str())?;
    let heard = evidence.words.iter().filter(|word| {
        let same = origins.get(word.id.as_str()).is_some_and(|origin| origin.0 == instance);
        same && word.upstream == arrival.upstream
    });
    // What an instance was told before it started, woke or was cut off need not have reached it.
    let bound = |told: time::Instant| {
        let renewed = evidence.renewals.iter().any(|(upstream, at)| {
            *upstream == arrival.upstream && *at >= told && *at <= arrival.at
        });
        let harmed = evidence.link_troubles.iter().any(|trouble| {
            trouble.upstream == arrival.upstream && trouble.from <= arrival.at && trouble.to >= told
        });
        !renewed && !harmed && evidence.in_contact(instance, told.min(from), arrival.at)
    };
    let broken = heard.filter_map(|word| {
        let left = word.leaving.filter(|told| arrival.at > *told + leave_check::LEAVE);
        let rested = word
            .rest
            .filter(|(told, rest)| arrival.at > *told + CROSSING && arrival.at < *told + *rest);
        let left = left.map(|told| (told, "that had told it that it leaves"));
        left.or(rested.map(|(told, _)| (told, "that had asked it for rest")))
    });
    let (told, what) = broken.into_iter().find(|(told, _)| bound(*told))?;
    let kind = format!("upstream {} used {what}, by instance {instance}", arrival.upstream);
    let [told, at] = [told, arrival.at].map(|at| evidence.second(at));
    Some((kind, format!("{} at {at:.2} s, told at {told:.2} s", arrival.id)))
}
