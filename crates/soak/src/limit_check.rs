//! Checks that upstreams that announce a rate limit get no more requests than it allows. A request
//! is counted only if its instance has received the limit.

use std::time;

use crate::{
    evidence::{self, AnnouncedLimit, Evidence, UpstreamResponse},
    signal_check,
};

/// Length of the sliding window in which requests are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Factor by which the requests in a window may exceed the limit, by the platform's rule.
const ALLOWED_FACTOR: f64 = 1.5;
/// Number of requests allowed in a window on top of the limit times [`ALLOWED_FACTOR`], by the
/// platform's rule.
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after an instance gets its first answer with a limit until the requests of that instance
/// are counted.
const NOTICE_TIME: time::Duration = time::Duration::from_millis(500);

/// Returns the rate limits that instances exceeded, summarized by upstream.
pub(crate) fn violations(evidence: &Evidence) -> Vec<String> {
    let origins = signal_check::origins(evidence);
    let found =
        evidence.limits.iter().filter_map(|limit| limit_violation(evidence, &origins, limit));
    evidence::summarize_by_kind(found)
}

/// Returns the violation if a window within the period of a limit holds more requests than allowed.
fn limit_violation(
    evidence: &Evidence,
    origins: &signal_check::RequestOrigins<'_>,
    limit: &AnnouncedLimit,
) -> Option<(String, String)> {
    let within = |response: &&UpstreamResponse| {
        response.upstream == limit.upstream
            && response.at >= limit.since
            && response.at < limit.until
    };
    let responses: Vec<_> = evidence.responses.iter().filter(within).collect();
    let counted = |response: &&&UpstreamResponse| {
        let Some((instance, from)) = origins.get(response.id.as_str()).copied() else {
            return false;
        };
        let same_instance = responses.iter().filter(|other| {
            origins.get(other.id.as_str()).is_some_and(|origin| origin.0 == instance)
        });
        let mut announced = same_instance.filter_map(|other| other.limit_announced_at);
        announced.any(|announced| {
            // A limit sent before the instance started, resumed or lost contact may not have
            // reached the instance.
            announced + NOTICE_TIME <= response.at
                && evidence.in_contact(instance, announced.min(from), response.at)
        })
    };
    let mut times: Vec<_> = responses.iter().filter(counted).map(|response| response.at).collect();
    times.sort_unstable();
    let allowed = (limit.rate * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_EXTRA) as usize;
    let window_end = |first: usize| times.partition_point(|at| *at < times[first] + WINDOW);
    let fullest = (0..times.len()).max_by_key(|first| window_end(*first) - first)?;
    let count = window_end(fullest) - fullest;
    if count <= allowed {
        return None;
    }
    let kind = format!("upstream {} got more than its limit allows", limit.upstream);
    let at = evidence.seconds_since_start(times[fullest]);
    let text =
        format!("{count} in 4 s from {at:.2} s at {} a second, {allowed} allowed", limit.rate);
    Some((kind, text))
}
